/** Runs a daemon and the platform stand-ins in a single process, to try out example jobs. */
@NullMarked
package org.hickorymoor.local;

import org.jspecify.annotations.NullMarked;
