/** A simulated log service of the platform, for tests and local runs. */
@NullMarked
package org.hickorymoor.standins.log;

import org.jspecify.annotations.NullMarked;
