package org.hickorymoor.local;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.hickorymoor.daemon.Daemon;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.settings.DaemonSettings;
import org.hickorymoor.daemon.settings.HelpRequestedException;
import org.hickorymoor.daemon.settings.SettingsException;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs the example job records on a daemon and platform stand-ins in a single process.
 *
 * <p>Exit codes: 0 if all examples passed and the workers recorded no faults, 1 otherwise, 2 for
 * invalid options.
 */
public final class LocalMain {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Option(name = "--keep", usage = "stay up afterwards, for the command-line tool")
  private boolean keep;

  @Option(name = "--http-bind", metaVar = "IP:PORT", usage = "where callers are served")
  private String httpBind = "127.0.0.1:7480";

  @Option(name = "--examples", metaVar = "DIRECTORY", usage = "where the example records are")
  private String examples = "examples";

  private LocalMain() {}

  /**
   * Runs the examples.
   *
   * @param args command-line options, declared as fields of this class
   */
  public static void main(String[] args) {
    LocalMain main = new LocalMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
      System.exit(main.run());
    } catch (CmdLineException e) {
      System.err.println("hickorymoor-local: " + e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    } catch (IOException
        | InterruptedException
        | InvalidRecordException
        | SettingsException
        | HelpRequestedException
        | PlatformException e) {
      logger.atSevere().withCause(e).log("local: Running the examples failed.");
      System.err.println("hickorymoor-local: " + e.getMessage());
      System.exit(EXIT_FAILED);
    }
  }

  private int run()
      throws IOException,
          InterruptedException,
          InvalidRecordException,
          SettingsException,
          HelpRequestedException,
          PlatformException {
    InProcessPlatform platform = new InProcessPlatform();
    platform.start();
    Daemon daemon = new Daemon(settings(platform));
    daemon.start();
    ExampleRunner runner = new ExampleRunner(daemon.httpAddress(), System.out);
    int failed = runner.runAll(Example.readAll(Path.of(examples)));
    int faults = platform.faultCount();
    System.out.printf("%d failed, %d overloads or double runs seen by workers%n", failed, faults);
    if (keep) {
      System.out.println("Serving at " + daemon.httpAddress() + "; end it with Ctrl-C.");
      new CountDownLatch(1).await();
    }
    daemon.stop();
    platform.stop();
    return failed + faults == 0 ? 0 : EXIT_FAILED;
  }

  private DaemonSettings settings(InProcessPlatform platform)
      throws SettingsException, HelpRequestedException {
    String[] flags = {
      "--host-id",
      "local-1",
      "--domain",
      InProcessPlatform.DOMAIN,
      "--region",
      InProcessPlatform.REGION,
      "--http-bind",
      httpBind,
      "--peer-bind",
      "127.0.0.1:0",
      "--log",
      platform.logAddress(),
      "--hosts",
      platform.hostsAddress(),
      "--stop-grace-ms",
      "2000",
      "--host-list-poll-ms",
      "200"
    };
    return DaemonSettings.parse(flags, Map.of());
  }
}
