/** Measures what a domain of real processes costs at a given load. */
@NullMarked
package org.hickorymoor.bench.load;

import org.jspecify.annotations.NullMarked;
