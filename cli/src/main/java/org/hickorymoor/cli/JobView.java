package org.hickorymoor.cli;

import java.util.List;
import org.hickorymoor.cli.client.JobReply;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskStatus;
import org.hickorymoor.protocol.json.EnumNames;

/** Prints answers about jobs. */
final class JobView {

  private static final int MAX_TASK_ROWS = 50;

  private JobView() {}

  static void print(Session session, JobReply reply) {
    if (session.json()) {
      session.out().println(reply.body());
      return;
    }
    JobAnswer answer = reply.answer();
    String job = answer.jobId().isEmpty() ? "" : " (job " + answer.jobId() + ")";
    session
        .out()
        .println(
            answer.request() + ": " + EnumNames.toKebabCase(answer.state()) + Table.printable(job));
    if (answer.reason().type() != ReasonType.NONE) {
      session.out().println("reason: " + reason(answer));
    }
    if (answer.retryAfterMs() > 0) {
      session.out().println("ask or try again after " + answer.retryAfterMs() + " ms");
    }
    printTasks(session, answer.tasks());
  }

  /** Says the reason on one line. */
  static String reason(JobAnswer answer) {
    String type = EnumNames.toKebabCase(answer.reason().type());
    String message = Table.printable(answer.reason().message());
    return message.isEmpty() ? type : type + ": " + message;
  }

  /** Tells the shell what state a job is in. */
  static ExitCode exitCode(JobState state) {
    return switch (state) {
      case ACCEPTED, RUNNING, DONE -> ExitCode.OK;
      case FAILED -> ExitCode.JOB_FAILED;
      case NOT_RUN -> ExitCode.NOT_RUN;
      case IN_DOUBT -> ExitCode.IN_DOUBT;
    };
  }

  /** Tells the shell what came of waiting for a job's end. */
  static ExitCode exitCodeAfterWait(JobState state) {
    boolean goesOn = state == JobState.ACCEPTED || state == JobState.RUNNING;
    return goesOn ? ExitCode.NOT_FINISHED : exitCode(state);
  }

  private static void printTasks(Session session, List<TaskStatus> tasks) {
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
    session.print(table);
    if (tasks.size() > MAX_TASK_ROWS) {
      session.out().println("and " + (tasks.size() - MAX_TASK_ROWS) + " more; --json prints all");
    }
  }
}
