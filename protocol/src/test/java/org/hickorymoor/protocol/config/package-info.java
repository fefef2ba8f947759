/** Tests of the configuration's schema versions. */
@NullMarked
package org.hickorymoor.protocol.config;

import org.jspecify.annotations.NullMarked;
