package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;
import org.kohsuke.args4j.Option;

/** Lists the versions of the configuration. */
final class ConfigHistoryCommand implements Command {

  @Option(name = "--limit", metaVar = "N", usage = "at most this many")
  private int limit = 20;

  @Override
  public ExitCode run(Session session) throws ClientException, ServerErrorException {
    Query query = new Query("/v1/config/history").with("limit", limit);
    session.report(Call.get(query.toString(), 0), answer -> print(session, answer));
    return ExitCode.OK;
  }

  private static void print(Session session, JsonObject answer) {
    Table table = new Table("VERSION", "OFFSET", "WHO", "WHEN");
    for (JsonObject version : Fields.objects(answer, "versions")) {
      table.add(
          Fields.text(version, "version"),
          Fields.text(version, "offset"),
          Fields.text(version, "who"),
          Fields.time(version, "atMs"));
    }
    session.print(table);
  }
}
