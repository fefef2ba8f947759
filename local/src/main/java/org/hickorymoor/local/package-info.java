/** One daemon and the platform stand-ins in a single process. */
@NullMarked
package org.hickorymoor.local;

import org.jspecify.annotations.NullMarked;
