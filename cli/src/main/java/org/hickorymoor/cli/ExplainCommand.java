package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;
import org.hickorymoor.domain.job.RequestKey;
import org.kohsuke.args4j.Argument;

/** Prints the reasons for the current state of a job. */
final class ExplainCommand implements Command {

  @Argument(
      required = true,
      handler = RequestKeyOptionHandler.class,
      metaVar = "TEAM/KEY",
      usage = "name of the request")
  private RequestKey request = new RequestKey("", "");

  @Override
  public ExitCode run(CommandContext context) throws ClientException, ServerErrorException {
    String path = "/v1/jobs/" + request + "/explain";
    context.sendAndPrint(Call.forJob("GET", path, 0), answer -> print(context, answer));
    return ExitCode.OK;
  }

  private static void print(CommandContext context, JsonObject answer) {
    for (String line : JsonFields.texts(answer, "lines")) {
      context.out().println(Table.replaceControlChars(line));
    }
  }
}
