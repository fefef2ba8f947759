package org.hickorymoor.cli;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.HttpTransport;
import org.hickorymoor.cli.client.JobClient;
import org.hickorymoor.cli.client.MonotonicClock;
import org.hickorymoor.cli.client.OutcomeUnknownException;
import org.hickorymoor.cli.client.RetryingClient;
import org.hickorymoor.cli.client.ServerErrorException;
import org.hickorymoor.cli.client.TransportException;
import org.hickorymoor.protocol.caller.ErrorTypes;
import org.hickorymoor.protocol.json.Problem;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.ClassParser;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.RestOfArgumentsHandler;

/** Runs a command line, reporting failures by a message and an exit code. */
final class Cli {

  private static final String HELP_COMMAND = "help";

  private final Map<String, String> environment;
  private final InputStream in;
  private final PrintStream out;
  private final PrintStream err;

  Cli(Map<String, String> environment, InputStream in, PrintStream out, PrintStream err) {
    this.environment = environment;
    this.in = in;
    this.out = out;
    this.err = err;
  }

  ExitCode run(String... arguments) {
    try {
      return parseAndRun(arguments);
    } catch (UsageException e) {
      return fail(ExitCode.USAGE, e);
    } catch (OutcomeUnknownException e) {
      err.println("hickorymoor: " + e.getMessage());
      err.println(
          "hickorymoor: check the outcome with status, or with config history for a configuration");
      return ExitCode.IN_DOUBT;
    } catch (ClientException | TransportException e) {
      return fail(ExitCode.UNREACHABLE, e);
    } catch (ServerErrorException e) {
      return report(e);
    }
  }

  private ExitCode parseAndRun(String... arguments)
      throws UsageException, ClientException, ServerErrorException, TransportException {
    GlobalOptions options = new GlobalOptions();
    CommandLine line = new CommandLine();
    CmdLineParser parser = new ArgumentParser(line);
    new ClassParser().parse(options, parser);
    parse(parser, List.of(arguments), "hickorymoor help");
    if (line.words.isEmpty()) {
      new Help(options.help() ? out : err).printGeneral();
      return options.help() ? ExitCode.OK : ExitCode.USAGE;
    }
    if (line.words.get(0).equals(HELP_COMMAND)) {
      return help(line.words.subList(1, line.words.size()));
    }
    return runCommand(options, line.words);
  }

  private ExitCode runCommand(GlobalOptions options, List<String> words)
      throws UsageException, ClientException, ServerErrorException, TransportException {
    CommandInfo info = find(words);
    Command command = info.create().get();
    CmdLineParser parser = new ArgumentParser(command);
    new ClassParser().parse(options, parser);
    List<String> rest = words.subList(info.words().size(), words.size());
    parse(parser, rest, "hickorymoor help " + info.name());
    if (options.help()) {
      new Help(out).printCommand(info);
      return ExitCode.OK;
    }
    return execute(options, command);
  }

  private ExitCode execute(GlobalOptions options, Command command)
      throws UsageException, ClientException, ServerErrorException, TransportException {
    HttpTransport transport = new HttpTransport(options.actor(environment));
    RetryingClient client =
        new RetryingClient(
            transport,
            options.servers(environment),
            options.retryForMs(),
            MonotonicClock.SYSTEM,
            new SplittableRandom());
    JobClient jobs = new JobClient(client, MonotonicClock.SYSTEM);
    transport.start();
    try {
      return command.run(new CommandContext(client, jobs, in, out, err, options.json()));
    } finally {
      transport.stop();
      out.flush();
    }
  }

  private ExitCode help(List<String> words) throws UsageException {
    if (words.isEmpty()) {
      new Help(out).printGeneral();
      return ExitCode.OK;
    }
    Optional<CommandInfo> info = Commands.find(words);
    List<CommandInfo> group = Commands.startingWith(words.get(0));
    if (info.isEmpty() && words.size() == 1 && !group.isEmpty()) {
      new Help(out).printCommands(group);
      return ExitCode.OK;
    }
    new Help(out).printCommand(find(words));
    return ExitCode.OK;
  }

  private static CommandInfo find(List<String> words) throws UsageException {
    return Commands.find(words)
        .orElseThrow(
            () ->
                new UsageException(
                    "expected a command, got \""
                        + String.join(" ", words)
                        + "\"; \"hickorymoor help\" lists them"));
  }

  private static void parse(CmdLineParser parser, List<String> arguments, String help)
      throws UsageException {
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      throw new UsageException(e.getMessage() + "; see \"" + help + "\" for the usage");
    }
  }

  private ExitCode report(ServerErrorException e) {
    err.println(
        Table.replaceControlChars("hickorymoor: " + e.error().type() + ": " + e.getMessage()));
    for (Problem problem : e.error().problems()) {
      err.println(Table.replaceControlChars("  " + problem));
    }
    return exitCode(e);
  }

  private static ExitCode exitCode(ServerErrorException e) {
    return switch (e.error().type()) {
      case ErrorTypes.UNKNOWN_JOB, ErrorTypes.UNKNOWN_WORKER -> ExitCode.UNKNOWN;
      case ErrorTypes.INVALID_RECORD,
          ErrorTypes.INVALID_REQUEST,
          ErrorTypes.TOO_LARGE,
          ErrorTypes.KEY_REUSED,
          ErrorTypes.VERSION_CONFLICT ->
          ExitCode.REFUSED;
      default -> ExitCode.SERVER_ERROR;
    };
  }

  private ExitCode fail(ExitCode code, Exception e) {
    err.println("hickorymoor: " + e.getMessage());
    return code;
  }

  /** The command name and its arguments, which follow the global options. */
  private static final class CommandLine {

    @Argument(handler = RestOfArgumentsHandler.class)
    private List<String> words = new ArrayList<>();
  }
}
