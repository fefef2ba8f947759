package org.hickorymoor.daemon.coordinator;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.job.ReasonType;

/** Says in sentences where a job stands. */
final class JobExplanation {

  private JobExplanation() {}

  static List<String> of(Job job, boolean settled) {
    List<String> lines = new ArrayList<>();
    lines.add("Job " + job.jobId() + " is " + job.state() + ".");
    if (job.reason().type() != ReasonType.NONE) {
      lines.add(job.reason().type() + ": " + job.reason().message());
    }
    if (!settled) {
      lines.add("This coordinator has just taken over and first lists every worker.");
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
