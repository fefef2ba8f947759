package org.hickorymoor.cli;

import java.util.List;
import org.hickorymoor.cli.client.JobReply;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskStatus;
import org.hickorymoor.protocol.json.EnumNames;

/** Prints the state of jobs. */
final class JobPrinter {

  private static final int MAX_TASK_ROWS = 50;

  private JobPrinter() {}

  static void print(CommandContext context, JobReply reply) {
    if (context.json()) {
      context.out().println(reply.body());
      return;
    }
    JobAnswer answer = reply.answer();
    String job = answer.jobId().isEmpty() ? "" : " (job " + answer.jobId() + ")";
    context
        .out()
        .println(
            answer.request()
                + ": "
                + EnumNames.toKebabCase(answer.state())
                + Table.replaceControlChars(job));
    if (answer.reason().type() != ReasonType.NONE) {
      context.out().println("reason: " + reason(answer));
    }
    if (answer.retryAfterMs() > 0) {
      context.out().println("retry after " + answer.retryAfterMs() + " ms");
    }
    printTasks(context, answer.tasks());
  }

  /** Formats the reason on a single line. */
  static String reason(JobAnswer answer) {
    String type = EnumNames.toKebabCase(answer.reason().type());
    String message = Table.replaceControlChars(answer.reason().message());
    return message.isEmpty() ? type : type + ": " + message;
  }

  /** Returns the exit code for the state of a job. */
  static ExitCode exitCode(JobState state) {
    return switch (state) {
      case ACCEPTED, RUNNING, DONE -> ExitCode.OK;
      case FAILED -> ExitCode.JOB_FAILED;
      case NOT_RUN -> ExitCode.NOT_RUN;
      case IN_DOUBT -> ExitCode.IN_DOUBT;
    };
  }

  /**
   * Returns the exit code after waiting for a job to end; an unfinished job has a code of its own.
   */
  static ExitCode exitCodeAfterWait(JobState state) {
    boolean unfinished = state == JobState.ACCEPTED || state == JobState.RUNNING;
    return unfinished ? ExitCode.NOT_FINISHED : exitCode(state);
  }

  private static void printTasks(CommandContext context, List<TaskStatus> tasks) {
    if (tasks.isEmpty()) {
      return;
    }
    Table table = new Table("TASK", "STATE", "WORKER", "ATTEMPTS", "EXIT");
    for (TaskStatus task : tasks.subList(0, Math.min(tasks.size(), MAX_TASK_ROWS))) {
      String worker = task.workerId() == null ? "-" : task.workerId();
      table.add(
          task.index(),
          EnumNames.toKebabCase(task.state()),
          worker,
          task.attempts(),
          task.exitCode());
    }
    context.print(table);
    if (tasks.size() > MAX_TASK_ROWS) {
      context.out().println("and " + (tasks.size() - MAX_TASK_ROWS) + " more; --json prints all");
    }
  }
}
