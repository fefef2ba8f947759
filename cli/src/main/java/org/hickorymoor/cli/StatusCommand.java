package org.hickorymoor.cli;

import java.time.Duration;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.JobReply;
import org.hickorymoor.cli.client.ServerErrorException;
import org.hickorymoor.domain.job.RequestKey;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints what is known of a job. */
final class StatusCommand implements Command {

  @Argument(
      required = true,
      handler = RequestHandler.class,
      metaVar = "TEAM/KEY",
      usage = "name of the request")
  private RequestKey request = new RequestKey("", "");

  @Option(
      name = "--wait",
      handler = DurationHandler.class,
      usage = "wait for the job's end, at most this long")
  private Duration wait = Duration.ZERO;

  @Override
  public ExitCode run(Session session) throws ClientException, ServerErrorException {
    JobReply reply = session.jobs().status(request, wait.toMillis());
    JobView.print(session, reply);
    return wait.isZero()
        ? JobView.exitCode(reply.answer().state())
        : JobView.exitCodeAfterWait(reply.answer().state());
  }
}
