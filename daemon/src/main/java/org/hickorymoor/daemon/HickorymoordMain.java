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
 * Runs the daemon until SIGTERM.
 *
 * <p>Once it serves it prints {@code READY http <ip:port> peer <ip:port>} to the standard output.
 * Exit codes: 0 after a planned stop, 1 if it could not start, 2 for mistakes in the settings.
 */
public final class HickorymoordMain {

  private static final int EXIT_START_FAILED = 1;
  private static final int EXIT_SETTINGS = 2;
  private static final String LOG_LEVEL_PROPERTY = "HICKORYMOOR_LOG_LEVEL";

  private HickorymoordMain() {}

  /**
   * Runs until SIGTERM.
   *
   * @param args flags; see {@code --help}
   * @throws InterruptedException never, as nothing interrupts the main thread
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
      FluentLogger.forEnclosingClass().atSevere().withCause(e).log("daemon: Start failed.");
      System.exit(EXIT_START_FAILED);
    }
    new CountDownLatch(1).await();
  }
}
