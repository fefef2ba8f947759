package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.AttemptResult;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.CallOutcome;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.Reply;
import org.hickorymoor.cli.client.ServerErrorException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Publishes a configuration that replaces the version it is based on. */
final class ConfigPublishCommand implements Command {

  @Argument(
      metaVar = "FILE",
      required = true,
      usage = "configuration record in JSON, or - for input")
  private String file = "";

  @Option(
      name = "--expect-version",
      metaVar = "N",
      required = true,
      usage = "version in force that the record replaces; refused if there is a newer one")
  private long expectVersion;

  @Override
  public ExitCode run(CommandContext context)
      throws UsageException, ClientException, ServerErrorException {
    String json = InputFiles.read(file, context.in());
    Query query = new Query("/v1/config").with("expectedVersion", expectVersion);
    // Not retryable: if only the response was lost, a retry would conflict with its own version.
    Call call = new Call("POST", query.toString(), json, 0, false, ConfigPublishCommand::evaluate);
    context.sendAndPrint(call, answer -> print(context, answer));
    return ExitCode.OK;
  }

  private static void print(CommandContext context, JsonObject answer) {
    context
        .out()
        .println(
            "published as version "
                + JsonFields.text(answer, "version")
                + " at offset "
                + JsonFields.text(answer, "offset"));
  }

  private static AttemptResult evaluate(Reply reply) {
    return reply.isServerError() ? new AttemptResult(CallOutcome.UNKNOWN, 0) : AttemptResult.FINAL;
  }
}
