package org.hickorymoor.daemon.coordinator;

import org.hickorymoor.daemon.coordinator.JobTask.Phase;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.ledger.LedgerEntry;
import org.hickorymoor.domain.ledger.LedgerJob;

/** Brings a job to where the log says that it stands. */
final class LedgerRestore {

  private LedgerRestore() {}

  /**
   * Restores every task that is not known better from a worker.
   *
   * <p>A task with an open placement is in doubt until its worker lists it, or lists without it.
   *
   * @param job the job
   * @param known what the log says of it
   * @param jobs where placed tasks are noted
   */
  static void into(Job job, LedgerJob known, JobTable jobs) {
    for (JobTask task : job.tasks()) {
      if (task.phase() == Phase.WAITING && task.attempt() == null) {
        restore(job, task, known, jobs);
      }
    }
  }

  private static void restore(Job job, JobTask task, LedgerJob known, JobTable jobs) {
    LedgerEntry.Placed placed = known.openPlacement(task.index());
    LedgerEntry.Ended end = known.end(task.index());
    if (end != null) {
      task.given(end.task(), "", end.workerId(), null, phase(end.state()));
      task.result(end.exitCode(), end.output());
    }
    if (known.finished() != null && !task.phase().isEnded()) {
      task.phase(phase(known.finished().state()));
    } else if (placed != null) {
      task.given(
          placed.task(),
          placed.workerTaskId(),
          placed.workerId(),
          placed.workerIncarnation(),
          Phase.IN_DOUBT);
      jobs.place(placed.workerId(), placed.workerTaskId(), job, task);
      job.reason(
          new Reason(
              ReasonType.WORKER_UNREACHABLE,
              "Worker " + placed.workerId() + " has not yet been asked what became of it."));
    }
  }

  private static Phase phase(JobState state) {
    return switch (state) {
      case DONE -> Phase.SUCCEEDED;
      case FAILED -> Phase.FAILED;
      case NOT_RUN -> Phase.NOT_RUN;
      default -> Phase.WAITING;
    };
  }
}
