/** The daemon process, and the wiring of its services. */
@NullMarked
package org.hickorymoor.daemon;

import org.jspecify.annotations.NullMarked;
