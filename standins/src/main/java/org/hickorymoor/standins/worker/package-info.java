/** Simulated workers of the platform, for tests and local runs. */
@NullMarked
package org.hickorymoor.standins.worker;

import org.jspecify.annotations.NullMarked;
