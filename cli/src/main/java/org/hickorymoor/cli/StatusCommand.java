package org.hickorymoor.cli;

import java.time.Duration;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.JobReply;
import org.hickorymoor.cli.client.ServerErrorException;
import org.hickorymoor.domain.job.RequestKey;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints the state of a job. */
final class StatusCommand implements Command {

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
    JobPrinter.print(context, reply);
    return wait.isZero()
        ? JobPrinter.exitCode(reply.answer().state())
        : JobPrinter.exitCodeAfterWait(reply.answer().state());
  }
}
