/** A simulated host list of the platform, for tests and local runs. */
@NullMarked
package org.hickorymoor.standins.hosts;

import org.jspecify.annotations.NullMarked;
