/** Benchmarks and the load tool. */
@NullMarked
package org.hickorymoor.bench;

import org.jspecify.annotations.NullMarked;
