/** Benchmarks of the decisions: how fast they are and how good. */
@NullMarked
package org.hickorymoor.bench.policy;

import org.jspecify.annotations.NullMarked;
