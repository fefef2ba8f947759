/** Measures the resource usage of a failure domain of real processes under a given load. */
@NullMarked
package org.hickorymoor.bench.load;

import org.jspecify.annotations.NullMarked;
