package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Lists entries of the audit trail. */
final class AuditCommand implements Command {

  @Option(name = "--who", metaVar = "NAME", usage = "only changes that this actor asked for")
  private @Nullable String who;

  @Option(name = "--what", metaVar = "KIND", usage = "only changes of this kind")
  private @Nullable String what;

  @Option(name = "--limit", metaVar = "N", usage = "at most this many")
  private int limit = 50;

  @Override
  public ExitCode run(CommandContext context) throws ClientException, ServerErrorException {
    Query query = new Query("/v1/audit").with("who", who).with("what", what).with("limit", limit);
    context.sendAndPrint(Call.get(query.toString(), 0), answer -> print(context, answer));
    return ExitCode.OK;
  }

  private static void print(CommandContext context, JsonObject answer) {
    Table table = new Table("WHEN", "WHO", "WHAT", "TARGET", "BEFORE", "AFTER", "OUTCOME");
    for (JsonObject entry : JsonFields.objects(answer, "entries")) {
      table.add(
          JsonFields.time(entry, "atMs"),
          JsonFields.text(entry, "who"),
          JsonFields.text(entry, "what"),
          JsonFields.text(entry, "target"),
          JsonFields.text(entry, "before"),
          JsonFields.text(entry, "after"),
          JsonFields.text(entry, "outcome"));
    }
    context.print(table);
  }
}
