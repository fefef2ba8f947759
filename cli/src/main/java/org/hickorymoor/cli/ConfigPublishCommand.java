package org.hickorymoor.cli;

import com.google.gson.JsonObject;
import org.hickorymoor.cli.client.Assessment;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.Reply;
import org.hickorymoor.cli.client.ServerErrorException;
import org.hickorymoor.cli.client.Verdict;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Publishes a configuration over the version that it was made from. */
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
  public ExitCode run(Session session)
      throws UsageException, ClientException, ServerErrorException {
    String json = InputFiles.read(file, session.in());
    Query query = new Query("/v1/config").with("expectedVersion", expectVersion);
    // Sent again after a lost reply, the record would meet its own version as a conflict.
    Call call = new Call("POST", query.toString(), json, 0, false, ConfigPublishCommand::assess);
    session.report(call, answer -> print(session, answer));
    return ExitCode.OK;
  }

  private static void print(Session session, JsonObject answer) {
    session
        .out()
        .println(
            "published as version "
                + Fields.text(answer, "version")
                + " at offset "
                + Fields.text(answer, "offset"));
  }

  private static Assessment assess(Reply reply) {
    return reply.isServerError() ? new Assessment(Verdict.UNKNOWN, 0) : Assessment.FINAL;
  }
}
