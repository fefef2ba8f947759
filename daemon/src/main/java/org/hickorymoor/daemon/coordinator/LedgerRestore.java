package org.hickorymoor.daemon.coordinator;

import org.hickorymoor.daemon.coordinator.JobTask.Phase;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.ledger.LedgerEntry;
import org.hickorymoor.domain.ledger.LedgerJob;

/** Restores the tasks of a job from the log. */
final class LedgerRestore {

  private LedgerRestore() {}

  /**
   * Restores every task about which no worker has reported anything.
   *
   * <p>A task with an open placement is in doubt until its worker's next list shows whether it
   * runs.
   *
   * @param job the job
   * @param known the job as read from the log
   * @param jobs table to which placements are added
   */
  static void restoreTasks(Job job, LedgerJob known, JobTable jobs) {
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
      task.assign(end.task(), "", end.workerId(), null, phase(end.state()));
      task.setResult(end.exitCode(), end.output());
    }
    if (known.finished() != null && !task.phase().isEnded()) {
      task.phase(phase(known.finished().state()));
    } else if (placed != null) {
      task.assign(
          placed.task(),
          placed.workerTaskId(),
          placed.workerId(),
          placed.workerIncarnation(),
          Phase.IN_DOUBT);
      jobs.addPlacement(placed.workerId(), placed.workerTaskId(), job, task);
      job.reason(
          new Reason(
              ReasonType.WORKER_UNREACHABLE,
              "Worker " + placed.workerId() + " has not yet reported what became of the task."));
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
