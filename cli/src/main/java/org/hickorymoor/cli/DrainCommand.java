package org.hickorymoor.cli;

import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Keeps new work from a worker, or lets it come again. */
final class DrainCommand implements Command {

  @Argument(metaVar = "WORKER", required = true, usage = "id of the worker")
  private String worker = "";

  @Option(name = "--undo", usage = "give the worker new work again")
  private boolean undo;

  @Override
  public ExitCode run(Session session) throws ClientException, ServerErrorException {
    String path = "/v1/workers/" + Query.encode(worker) + "/drain";
    Call call = Call.idempotent(undo ? "DELETE" : "PUT", path);
    String done = undo ? " gets new work again" : " gets no new work; what runs there goes on";
    session.report(call, answer -> session.out().println(worker + done));
    return ExitCode.OK;
  }
}
