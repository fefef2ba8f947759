package org.hickorymoor.standins;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Runs a stand-in for one part of the platform as a separate process.
 *
 * <pre>{@code
 * StandInsMain worker --id w1 --domain kano --rack rack-1 --slots 8
 * StandInsMain log --appends-per-second 300
 * StandInsMain hosts --lag-ms 2000 --hosts-file hosts.json
 * }</pre>
 *
 * <p>Once it serves it prints {@code READY <kind> <ip:port>} to the standard output, one line per
 * worker in the order of the options, and nothing else. Exits on SIGTERM. Exit codes: 2 for invalid
 * options, 1 if the start failed.
 */
public final class StandInsMain {

  private static final Map<String, Supplier<StandInCommand>> COMMANDS =
      Map.of("worker", WorkerCommand::new, "log", LogCommand::new, "hosts", HostsCommand::new);
  private static final String LOGBACK_PROPERTY = "logback.configurationFile";
  private static final String LOGBACK_FILE = "org/hickorymoor/standins/logback-platform.xml";
  private static final int EXIT_START_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  private StandInsMain() {}

  /**
   * Runs until SIGTERM.
   *
   * @param args the subcommand and its options
   * @throws InterruptedException never, as the main thread is not interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    configureLogging();
    Supplier<StandInCommand> factory = args.length == 0 ? null : COMMANDS.get(args[0]);
    if (factory == null) {
      System.err.println("platform: expected worker, log or hosts as the first argument");
      System.exit(EXIT_USAGE);
      return;
    }
    StandInCommand command = factory.get();
    int exitCode = start(args[0], command, Arrays.asList(args).subList(1, args.length));
    if (exitCode != 0) {
      command.stop();
      System.exit(exitCode);
    }
    awaitShutdown(command);
  }

  private static void configureLogging() {
    if (System.getProperty(LOGBACK_PROPERTY) == null) {
      System.setProperty(LOGBACK_PROPERTY, LOGBACK_FILE);
    }
  }

  private static int start(String kind, StandInCommand command, List<String> options) {
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(options);
      for (String address : command.start(parser)) {
        System.out.println("READY " + kind + " " + address);
      }
      System.out.flush();
      return 0;
    } catch (CmdLineException | IllegalArgumentException e) {
      System.err.println("platform: " + e.getMessage());
      parser.printUsage(System.err);
      return EXIT_USAGE;
    } catch (IOException e) {
      System.err.println("platform: start failed: " + e.getMessage());
      return EXIT_START_FAILED;
    }
  }

  private static void awaitShutdown(StandInCommand command) throws InterruptedException {
    Runtime.getRuntime().addShutdownHook(new Thread(command::stop, "platform-stop"));
    if (command.endWithStdin) {
      awaitEndOfInput(System.in);
      System.exit(0);
    }
    new CountDownLatch(1).await();
  }

  private static void awaitEndOfInput(InputStream input) {
    try {
      while (input.read() >= 0) {
        // Input is discarded.
      }
    } catch (IOException e) {
      // A read failure counts as end of input.
    }
  }
}
