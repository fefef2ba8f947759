/** Reads the cluster configuration from the log, publishes it and exchanges it with peers. */
@NullMarked
package org.hickorymoor.daemon.config;

import org.jspecify.annotations.NullMarked;
