package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;
import org.hickorymoor.domain.job.RequestKey;
import org.kohsuke.args4j.Argument;

/** Prints why a job is where it is. */
final class ExplainCommand implements Command {

  @Argument(
      required = true,
      handler = RequestHandler.class,
      metaVar = "TEAM/KEY",
      usage = "name of the request")
  private RequestKey request = new RequestKey("", "");

  @Override
  public ExitCode run(Session session) throws ClientException, ServerErrorException {
    String path = "/v1/jobs/" + request + "/explain";
    session.report(Call.aboutJob("GET", path, 0), answer -> print(session, answer));
    return ExitCode.OK;
  }

  private static void print(Session session, JsonObject answer) {
    for (String line : Fields.texts(answer, "lines")) {
      session.out().println(Table.printable(line));
    }
  }
}
