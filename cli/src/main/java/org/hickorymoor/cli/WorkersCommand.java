package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;

/** Lists the workers. */
final class WorkersCommand implements Command {

  @Override
  public ExitCode run(Session session) throws ClientException, ServerErrorException {
    session.report(Call.get("/v1/workers", 0), answer -> print(session, answer));
    return ExitCode.OK;
  }

  private static void print(Session session, JsonObject answer) {
    session.out().println("amounts are slots/connections/cpuMillis/memoryMb/accelerators");
    Table table =
        new Table("WORKER", "RACK", "ADDRESS", "STATE", "TASKS", "IN USE", "LEARNED", "DECLARED");
    for (JsonObject worker : Fields.objects(answer, "workers")) {
      table.add(
          Fields.text(worker, "workerId"),
          Fields.text(worker, "rack"),
          Fields.text(worker, "address"),
          Fields.text(worker, "state"),
          Fields.text(worker, "tasks"),
          Fields.amount(worker, "inUse"),
          Fields.amount(worker, "learned"),
          Fields.amount(worker, "declared"));
    }
    session.print(table);
  }
}
