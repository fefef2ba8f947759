package org.hickorymoor.cli;

import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Stops assigning new work to a worker, or resumes it. */
final class DrainCommand implements Command {

  @Argument(metaVar = "WORKER", required = true, usage = "id of the worker")
  private String worker = "";

  @Option(name = "--undo", usage = "give the worker new work again")
  private boolean undo;

  @Override
  public ExitCode run(CommandContext context) throws ClientException, ServerErrorException {
    String path = "/v1/workers/" + Query.encode(worker) + "/drain";
    Call call = Call.idempotent(undo ? "DELETE" : "PUT", path);
    String done = undo ? " gets new work again" : " gets no new work; its running tasks continue";
    context.sendAndPrint(call, answer -> context.out().println(worker + done));
    return ExitCode.OK;
  }
}
