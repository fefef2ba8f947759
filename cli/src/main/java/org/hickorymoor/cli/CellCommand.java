package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;

/** Prints the state of the cell as seen by one entry host. */
final class CellCommand implements Command {

  @Override
  public ExitCode run(CommandContext context) throws ClientException, ServerErrorException {
    context.sendAndPrint(Call.get("/v1/cell", 0), answer -> print(context, answer));
    return ExitCode.OK;
  }

  private static void print(CommandContext context, JsonObject answer) {
    Table table = new Table("FIELD", "VALUE");
    for (String name : answer.keySet()) {
      table.add(name, JsonFields.text(answer, name));
    }
    context.print(table);
  }
}
