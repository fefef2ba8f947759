package org.hickorymoor.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.settings.DaemonSettings;
import org.hickorymoor.daemon.settings.HelpRequestedException;
import org.hickorymoor.daemon.settings.SettingProblem;
import org.hickorymoor.daemon.settings.SettingsException;

/**
 * Entry point of the daemon process, which runs until SIGTERM.
 *
 * <p>Prints {@code READY http <ip:port> peer <ip:port>} to standard output once both interfaces are
 * served. Exit codes: 0 after a graceful stop, 1 if the daemon failed to start, 2 for invalid
 * settings.
 */
public final class HickorymoordMain {

  private static final int EXIT_START_FAILED = 1;
  private static final int EXIT_SETTINGS = 2;
  private static final String LOG_LEVEL_PROPERTY = "HICKORYMOOR_LOG_LEVEL";

  private HickorymoordMain() {}

  /**
   * Runs the daemon until SIGTERM.
   *
   * @param args flags; see {@code --help}
   * @throws InterruptedException if the main thread is interrupted, which no code does
   */
  public static void main(String[] args) throws InterruptedException {
    try {
      DaemonSettings settings = DaemonSettings.parse(args, System.getenv());
      System.setProperty(LOG_LEVEL_PROPERTY, settings.logLevel());
      run(settings);
    } catch (HelpRequestedException e) {
      System.out.print(e.help());
    } catch (SettingsException e) {
      for (SettingProblem problem : e.problems()) {
        System.err.println("hickorymoord: " + problem);
      }
      System.err.println("hickorymoord: see hickorymoord --help");
      System.exit(EXIT_SETTINGS);
    }
  }

  private static void run(DaemonSettings settings) throws InterruptedException {
    try {
      Daemon daemon = new Daemon(settings);
      daemon.start();
      Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
      System.out.println("READY http " + daemon.httpAddress() + " peer " + daemon.peerAddress());
      System.out.flush();
    } catch (IOException | PlatformException e) {
      FluentLogger.forEnclosingClass().atSevere().withCause(e).log("daemon: Startup failed.");
      System.exit(EXIT_START_FAILED);
    }
    new CountDownLatch(1).await();
  }
}
