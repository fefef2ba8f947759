/** Benchmarks of the latency and the quality of scheduling decisions. */
@NullMarked
package org.hickorymoor.bench.policy;

import org.jspecify.annotations.NullMarked;
