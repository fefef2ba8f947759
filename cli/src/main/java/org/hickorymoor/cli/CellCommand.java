package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;

/** Prints the state of the cell as one entry host sees it. */
final class CellCommand implements Command {

  @Override
  public ExitCode run(Session session) throws ClientException, ServerErrorException {
    session.report(Call.get("/v1/cell", 0), answer -> print(session, answer));
    return ExitCode.OK;
  }

  private static void print(Session session, JsonObject answer) {
    Table table = new Table("FIELD", "VALUE");
    for (String name : answer.keySet()) {
      table.add(name, Fields.text(answer, name));
    }
    session.print(table);
  }
}
