package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
public final class Main {

  private static final long LIMIT_MS = 115_000;

  private interface Case {
    int run(Path recordFile, Path folder) throws Exception;
  }

  private static final Map<String, Case> CASES =
      Map.of(
          "drain-refuse", DrainRefuse::run,
          "long-schedule", LongSchedule::run,
          "flap", Flap::run,
          "whole-worker", WholeWorker::run,
          "stale-config", StaleConfig::run);

  private Main() {}

  /** Takes the name of the case and the file of the record. */
  public static void main(String[] args) throws Exception {
    Thread guard =
        new Thread(
            () -> {
              try {
                Thread.sleep(LIMIT_MS);
              } catch (InterruptedException e) {
                return;
              }
              System.err.println("the case takes too long");
              System.exit(2);
            });
    guard.setDaemon(true);
    guard.start();
    Path folder = Files.createTempDirectory("review");
    int code = 2;
    try {
      code = CASES.get(args[0]).run(Path.of(args[1]), folder);
    } catch (Exception e) {
      e.printStackTrace();
    }
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    } else {
      System.err.println(folder);
    }
    System.exit(code);
  }
}
