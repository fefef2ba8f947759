/** Scheduling policy: admission, fair queueing, placement, preemption, retries and estimation. */
@NullMarked
package org.hickorymoor.domain.policy;

import org.jspecify.annotations.NullMarked;
