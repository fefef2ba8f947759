package org.hickorymoor.daemon.shard;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadState;

/** A job with its scheduling state. Not thread-safe; confined to the event loop thread. */
final class ScheduledJob {

  final JobProgress progress;

  /** Start requests that wait until the job is stored. */
  final List<Runnable> deferredStarts = new ArrayList<>();

  /** The state that the ledger holds, which is the one shown to callers. */
  WorkloadState storedState;

  long backoffUntilNs;

  /** Whether the submission is stored. */
  boolean accepted;

  ScheduledJob(JobProgress progress, boolean accepted) {
    this.progress = progress;
    this.accepted = accepted;
    this.storedState = progress.state();
  }

  String id() {
    return progress.submission().jobId();
  }

  Submission submission() {
    return progress.submission();
  }
}
