package org.hickorymoor.daemon.coordinator;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.job.ReasonType;

/** Describes the state of a job in sentences. */
final class JobExplanation {

  private JobExplanation() {}

  static List<String> of(Job job, boolean reconciled) {
    List<String> lines = new ArrayList<>();
    lines.add("Job " + job.jobId() + " is " + job.state() + ".");
    if (job.reason().type() != ReasonType.NONE) {
      lines.add(job.reason().type() + ": " + job.reason().message());
    }
    if (!reconciled) {
      lines.add(
          "This coordinator has just taken over and is waiting for the task lists of all workers.");
    }
    for (JobTask task : job.tasks()) {
      if (task.workerId() != null) {
        lines.add(
            "Task "
                + task.index()
                + " is "
                + task.phase()
                + ", attempt "
                + task.attempt()
                + " on worker "
                + task.workerId()
                + ".");
      }
    }
    return lines;
  }
}
