package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Lists jobs. */
final class ListCommand implements Command {

  @Option(name = "--team", metaVar = "TEAM", usage = "only jobs of this team")
  private @Nullable String team;

  @Option(name = "--limit", metaVar = "N", usage = "at most this many")
  private int limit = 100;

  @Override
  public ExitCode run(CommandContext context) throws ClientException, ServerErrorException {
    Query query = new Query("/v1/jobs").with("team", team).with("limit", limit);
    context.sendAndPrint(Call.get(query.toString(), 0), answer -> print(context, answer));
    return ExitCode.OK;
  }

  private static void print(CommandContext context, JsonObject answer) {
    Table table = new Table("TEAM", "KEY", "STATE", "TASKS", "REASON", "JOB");
    for (JsonObject job : JsonFields.objects(answer, "jobs")) {
      JsonObject request = JsonFields.object(job, "request");
      table.add(
          JsonFields.text(request, "team"),
          JsonFields.text(request, "key"),
          JsonFields.text(job, "state"),
          JsonFields.objects(job, "tasks").size(),
          JsonFields.text(JsonFields.object(job, "reason"), "type"),
          JsonFields.text(job, "jobId"));
    }
    context.print(table);
  }
}
