/** Tests of the configuration codecs. */
@NullMarked
package org.hickorymoor.protocol.config;

import org.jspecify.annotations.NullMarked;
