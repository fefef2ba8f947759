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
      handler = RequestKeyOptionHandler.class,
      metaVar = "TEAM/KEY",
      usage = "name of the request")
  private RequestKey request = new RequestKey("", "");

  @Override
  public ExitCode run(CommandContext context) throws ClientException, ServerErrorException {
    JobReply reply = context.jobs().cancel(request);
    JobPrinter.print(context, reply);
    // A cancelled job ends as not run or failed, which is success here. In doubt is not a final
    // state.
    return reply.answer().state() == JobState.IN_DOUBT ? ExitCode.IN_DOUBT : ExitCode.OK;
  }
}
