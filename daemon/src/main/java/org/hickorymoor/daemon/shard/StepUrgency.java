package org.hickorymoor.daemon.shard;

import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.Urgency;

/** Determines the order in which steps compete for workers and approvals. */
@FunctionalInterface
interface StepUrgency {

  /** Returns the urgency of a step if it starts now. */
  Urgency of(Submission submission, StepProgress step);
}
