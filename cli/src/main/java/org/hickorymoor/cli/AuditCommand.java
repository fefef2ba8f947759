package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Lists the changes that were asked for. */
final class AuditCommand implements Command {

  @Option(name = "--who", metaVar = "NAME", usage = "only changes that this actor asked for")
  private @Nullable String who;

  @Option(name = "--what", metaVar = "KIND", usage = "only changes of this kind")
  private @Nullable String what;

  @Option(name = "--limit", metaVar = "N", usage = "at most this many")
  private int limit = 50;

  @Override
  public ExitCode run(Session session) throws ClientException, ServerErrorException {
    Query query = new Query("/v1/audit").with("who", who).with("what", what).with("limit", limit);
    session.report(Call.get(query.toString(), 0), answer -> print(session, answer));
    return ExitCode.OK;
  }

  private static void print(Session session, JsonObject answer) {
    Table table = new Table("WHEN", "WHO", "WHAT", "TARGET", "BEFORE", "AFTER", "OUTCOME");
    for (JsonObject entry : Fields.objects(answer, "entries")) {
      table.add(
          Fields.time(entry, "atMs"),
          Fields.text(entry, "who"),
          Fields.text(entry, "what"),
          Fields.text(entry, "target"),
          Fields.text(entry, "before"),
          Fields.text(entry, "after"),
          Fields.text(entry, "outcome"));
    }
    session.print(table);
  }
}
