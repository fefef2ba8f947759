/** Stand-ins for the platform, for tests and the local run. */
@NullMarked
package org.hickorymoor.standins;

import org.jspecify.annotations.NullMarked;
