/** Ports: the interfaces through which the daemon uses the platform. */
@NullMarked
package org.hickorymoor.daemon.port;

import org.jspecify.annotations.NullMarked;
