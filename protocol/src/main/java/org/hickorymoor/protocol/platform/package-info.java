/** Message types of the platform protocols specified in {@code docs/PLATFORM.md}. */
@NullMarked
package org.hickorymoor.protocol.platform;

import org.jspecify.annotations.NullMarked;
