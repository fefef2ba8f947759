package org.hickorymoor.cli;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;

/** Prints the current configuration. */
final class ConfigGetCommand implements Command {

  private static final Gson PRETTY =
      new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();

  @Override
  public ExitCode run(CommandContext context) throws ClientException, ServerErrorException {
    context.sendAndPrint(Call.get("/v1/config", 0), answer -> print(context, answer));
    return ExitCode.OK;
  }

  private static void print(CommandContext context, JsonObject answer) {
    String version = JsonFields.text(answer, "version");
    // The version is written to standard error, so that standard output holds only the record.
    context.err().println("version " + version + ", offset " + JsonFields.text(answer, "offset"));
    context.out().println(PRETTY.toJson(answer.get("record")));
  }
}
