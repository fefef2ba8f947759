/** Settings of the daemon, from flags and environment variables. */
@NullMarked
package org.hickorymoor.daemon.settings;

import org.jspecify.annotations.NullMarked;
