/** Tests of the configuration services with an in-memory log. */
@NullMarked
package org.hickorymoor.daemon.config;

import org.jspecify.annotations.NullMarked;
