package org.hickorymoor.cli;

import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.JobReply;
import org.hickorymoor.cli.client.ServerErrorException;
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
    return ExitCode.OK;
  }
}
