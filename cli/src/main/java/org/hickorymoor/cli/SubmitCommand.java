package org.hickorymoor.cli;

import java.time.Duration;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.JobReply;
import org.hickorymoor.cli.client.ServerErrorException;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.protocol.caller.JobRecordCodec;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Submits a job. */
final class SubmitCommand implements Command {

  @Argument(metaVar = "FILE", required = true, usage = "job record in JSON, or - for input")
  private String file = "";

  @Option(
      name = "--wait",
      handler = DurationOptionHandler.class,
      usage = "wait for the job's end, at most this long")
  private Duration wait = Duration.ZERO;

  @Override
  public ExitCode run(CommandContext context)
      throws UsageException, ClientException, ServerErrorException {
    String json = InputFiles.read(file, context.in());
    JobReply reply = context.jobs().submit(parse(json), json, wait.toMillis());
    JobPrinter.print(context, reply);
    return wait.isZero()
        ? JobPrinter.exitCode(reply.answer().state())
        : JobPrinter.exitCodeAfterWait(reply.answer().state());
  }

  private JobSpec parse(String json) throws UsageException {
    try {
      return JobRecordCodec.parse(json);
    } catch (InvalidRecordException e) {
      throw new UsageException(file + ": " + e.getMessage());
    }
  }
}
