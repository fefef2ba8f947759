/** Ports: what the daemon needs of the platform. */
@NullMarked
package org.hickorymoor.daemon.port;

import org.jspecify.annotations.NullMarked;
