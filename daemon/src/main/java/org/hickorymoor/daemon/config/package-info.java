/** Following, publishing and passing on the configuration. */
@NullMarked
package org.hickorymoor.daemon.config;

import org.jspecify.annotations.NullMarked;
