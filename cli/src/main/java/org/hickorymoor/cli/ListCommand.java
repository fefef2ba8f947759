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
  public ExitCode run(Session session) throws ClientException, ServerErrorException {
    Query query = new Query("/v1/jobs").with("team", team).with("limit", limit);
    session.report(Call.get(query.toString(), 0), answer -> print(session, answer));
    return ExitCode.OK;
  }

  private static void print(Session session, JsonObject answer) {
    Table table = new Table("TEAM", "KEY", "STATE", "TASKS", "REASON", "JOB");
    for (JsonObject job : Fields.objects(answer, "jobs")) {
      JsonObject request = Fields.object(job, "request");
      table.add(
          Fields.text(request, "team"),
          Fields.text(request, "key"),
          Fields.text(job, "state"),
          Fields.objects(job, "tasks").size(),
          Fields.text(Fields.object(job, "reason"), "type"),
          Fields.text(job, "jobId"));
    }
    session.print(table);
  }
}
