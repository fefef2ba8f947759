package org.hickorymoor.daemon.shard;

import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.Urgency;

/** A step with tasks that could start now. */
record ReadyStep(ScheduledJob job, StepProgress step, Urgency urgency) {}
