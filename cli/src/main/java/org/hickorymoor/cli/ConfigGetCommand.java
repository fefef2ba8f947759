package org.hickorymoor.cli;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;

/** Prints the configuration in force. */
final class ConfigGetCommand implements Command {

  private static final Gson PRETTY =
      new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();

  @Override
  public ExitCode run(Session session) throws ClientException, ServerErrorException {
    session.report(Call.get("/v1/config", 0), answer -> print(session, answer));
    return ExitCode.OK;
  }

  private static void print(Session session, JsonObject answer) {
    String version = Fields.text(answer, "version");
    // The version goes to standard error, so that the record alone can be sent to a file.
    session.err().println("version " + version + ", offset " + Fields.text(answer, "offset"));
    session.out().println(PRETTY.toJson(answer.get("record")));
  }
}
