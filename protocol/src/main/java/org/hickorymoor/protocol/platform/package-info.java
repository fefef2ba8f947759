/** Shapes of the platform's protocols, as {@code docs/PLATFORM.md} states them. */
@NullMarked
package org.hickorymoor.protocol.platform;

import org.jspecify.annotations.NullMarked;
