package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;

/** Lists the workers. */
final class WorkersCommand implements Command {

  @Override
  public ExitCode run(CommandContext context) throws ClientException, ServerErrorException {
    context.sendAndPrint(Call.get("/v1/workers", 0), answer -> print(context, answer));
    return ExitCode.OK;
  }

  private static void print(CommandContext context, JsonObject answer) {
    context.out().println("amounts are slots/connections/cpuMillis/memoryMb/accelerators");
    Table table =
        new Table("WORKER", "RACK", "ADDRESS", "STATE", "TASKS", "IN USE", "LEARNED", "DECLARED");
    for (JsonObject worker : JsonFields.objects(answer, "workers")) {
      table.add(
          JsonFields.text(worker, "workerId"),
          JsonFields.text(worker, "rack"),
          JsonFields.text(worker, "address"),
          JsonFields.text(worker, "state"),
          JsonFields.text(worker, "tasks"),
          JsonFields.amount(worker, "inUse"),
          JsonFields.amount(worker, "learned"),
          JsonFields.amount(worker, "declared"));
    }
    context.print(table);
  }
}
