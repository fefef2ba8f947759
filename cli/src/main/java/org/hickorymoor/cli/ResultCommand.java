package org.hickorymoor.cli;

import java.time.Duration;
import java.util.List;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.JobReply;
import org.hickorymoor.cli.client.ServerErrorException;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.TaskStatus;
import org.hickorymoor.protocol.json.EnumNames;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints the output of a job that has ended. */
final class ResultCommand implements Command {

  @Argument(
      required = true,
      handler = RequestKeyOptionHandler.class,
      metaVar = "TEAM/KEY",
      usage = "name of the request")
  private RequestKey request = new RequestKey("", "");

  @Option(
      name = "--wait",
      handler = DurationOptionHandler.class,
      usage = "wait for the job's end, at most this long")
  private Duration wait = Duration.ZERO;

  @Override
  public ExitCode run(CommandContext context) throws ClientException, ServerErrorException {
    JobReply reply = context.jobs().status(request, wait.toMillis());
    JobAnswer answer = reply.answer();
    if (context.json()) {
      context.out().println(reply.body());
    } else if (answer.state().isFinal()) {
      printOutputs(context, answer.tasks());
    }
    if (answer.state() != JobState.DONE) {
      context
          .err()
          .println(
              request + " is " + EnumNames.toKebabCase(answer.state()) + describeReason(answer));
    }
    return JobPrinter.exitCodeAfterWait(answer.state());
  }

  private static void printOutputs(CommandContext context, List<TaskStatus> tasks) {
    boolean single = tasks.size() == 1;
    for (TaskStatus task : tasks) {
      context.out().println(single ? task.output() : task.index() + ": " + task.output());
    }
  }

  private static String describeReason(JobAnswer answer) {
    return switch (answer.state()) {
      case FAILED, NOT_RUN -> " (" + JobPrinter.reason(answer) + ")";
      case IN_DOUBT -> " (" + JobPrinter.reason(answer) + "); check again later";
      default -> "; use --wait 60s to wait until it ends";
    };
  }
}
