package org.hickorymoor.cli;

import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.JobReply;
import org.hickorymoor.cli.client.ServerErrorException;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.RequestKey;
import org.kohsuke.args4j.Argument;

/** Cancels a job. */
final class CancelCommand implements Command {

  @Argument(
      required = true,
      handler = RequestHandler.class,
      metaVar = "TEAM/KEY",
      usage = "name of the request")
  private RequestKey request = new RequestKey("", "");

  @Override
  public ExitCode run(Session session) throws ClientException, ServerErrorException {
    JobReply reply = session.jobs().cancel(request);
    JobView.print(session, reply);
    // A cancelled job is not run or failed, as asked; in doubt is the one state that is not an end.
    return reply.answer().state() == JobState.IN_DOUBT ? ExitCode.IN_DOUBT : ExitCode.OK;
  }
}
