/** Simulated parts of the platform, for tests and local runs. */
@NullMarked
package org.hickorymoor.standins;

import org.jspecify.annotations.NullMarked;
