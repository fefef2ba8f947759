/** Transport between daemons: MessagePack messages in length-prefixed frames over TCP. */
@NullMarked
package org.hickorymoor.daemon.peer;

import org.jspecify.annotations.NullMarked;
