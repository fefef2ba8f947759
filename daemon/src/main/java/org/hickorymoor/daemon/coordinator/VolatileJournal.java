package org.hickorymoor.daemon.coordinator;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.protocol.platform.EndedTask;

/** Keeps nothing. */
public final class VolatileJournal implements JobJournal {

  private static final CompletableFuture<Void> DONE = CompletableFuture.completedFuture(null);

  @Override
  public CompletableFuture<String> claim(String jobId, JobSpec spec) {
    return CompletableFuture.completedFuture(jobId);
  }

  @Override
  public CompletableFuture<Void> accepted(String jobId, JobSpec spec) {
    return DONE;
  }

  @Override
  public CompletableFuture<Void> placed(TaskId task, String workerId, String workerIncarnation) {
    return DONE;
  }

  @Override
  public CompletableFuture<Void> ended(TaskId task, EndedTask ended) {
    return DONE;
  }

  @Override
  public CompletableFuture<Void> finished(JobAnswer answer) {
    return DONE;
  }
}
