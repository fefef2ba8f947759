/** How daemons talk to each other: MessagePack in length-withPrefix frames over TCP. */
@NullMarked
package org.hickorymoor.daemon.peer;

import org.jspecify.annotations.NullMarked;
