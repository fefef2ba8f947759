package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;
import org.kohsuke.args4j.Option;

/** Lists the published versions of the configuration. */
final class ConfigHistoryCommand implements Command {

  @Option(name = "--limit", metaVar = "N", usage = "at most this many")
  private int limit = 20;

  @Override
  public ExitCode run(CommandContext context) throws ClientException, ServerErrorException {
    Query query = new Query("/v1/config/history").with("limit", limit);
    context.sendAndPrint(Call.get(query.toString(), 0), answer -> print(context, answer));
    return ExitCode.OK;
  }

  private static void print(CommandContext context, JsonObject answer) {
    Table table = new Table("VERSION", "OFFSET", "WHO", "WHEN");
    for (JsonObject version : JsonFields.objects(answer, "versions")) {
      table.add(
          JsonFields.text(version, "version"),
          JsonFields.text(version, "offset"),
          JsonFields.text(version, "who"),
          JsonFields.time(version, "atMs"));
    }
    context.print(table);
  }
}
