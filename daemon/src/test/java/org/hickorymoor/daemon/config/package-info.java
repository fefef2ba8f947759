/** Tests of the config services, with a log in memory. */
@NullMarked
package org.hickorymoor.daemon.config;

import org.jspecify.annotations.NullMarked;
