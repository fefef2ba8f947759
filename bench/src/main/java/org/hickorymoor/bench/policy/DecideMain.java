package org.hickorymoor.bench.policy;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Runs {@link DecideBenchmark} while varying one dimension at a time, and writes the results to a
 * CSV file and plots.
 */
public final class DecideMain {

  private static final int WORKERS = 110;
  private static final int QUEUED_JOBS = 1_000;
  private static final int TEAMS = 48;
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double TAIL_PERCENTILE = 99;
  private static final double MICROS_PER_SECOND = 1_000_000;

  private record Size(String sweep, int workers, int queuedJobs, int teams) {}

  private DecideMain() {}

  /**
   * Runs the benchmark for each size.
   *
   * @param args output folder for the CSV file and the plots; defaults to docs/plots
   * @throws IOException if an output file cannot be written
   * @throws RunnerException if a benchmark fails
   */
  public static void main(String[] args) throws IOException, RunnerException {
    Path outputFolder = Path.of(args.length > 0 ? args[0] : "docs/plots");
    Files.createDirectories(outputFolder);
    List<DecideRow> rows = new ArrayList<>();
    for (Size size : sizes()) {
      rows.add(run(size));
    }
    write(rows, outputFolder.resolve("decide.csv"));
    new DecidePlots(outputFolder).draw(rows);
  }

  private static List<Size> sizes() {
    List<Size> sizes = new ArrayList<>();
    for (int workers : new int[] {55, 110, 220, 440, 880, 1_700}) {
      sizes.add(new Size("workers", workers, QUEUED_JOBS, TEAMS));
    }
    for (int queuedJobs : new int[] {100, 1_000, 10_000, 100_000}) {
      sizes.add(new Size("queuedJobs", WORKERS, queuedJobs, TEAMS));
    }
    for (int teams : new int[] {10, 48, 160, 480}) {
      sizes.add(new Size("teams", WORKERS, QUEUED_JOBS, teams));
    }
    sizes.add(new Size("whole", 1_700, 10_000, 480));
    return sizes;
  }

  private static DecideRow run(Size size) throws RunnerException {
    Options options =
        new OptionsBuilder()
            .include(DecideBenchmark.class.getName() + ".round")
            .param("workers", Integer.toString(size.workers))
            .param("queuedJobs", Integer.toString(size.queuedJobs))
            .param("teams", Integer.toString(size.teams))
            .build();
    RunResult result = new Runner(options).runSingle();
    Result<?> roundMicros = result.getPrimaryResult();
    return new DecideRow(
        size.sweep,
        size.workers,
        size.queuedJobs,
        size.teams,
        roundMicros.getScore(),
        roundMicros.getStatistics().getPercentile(MEDIAN_PERCENTILE),
        roundMicros.getStatistics().getPercentile(TAIL_PERCENTILE),
        MICROS_PER_SECOND / roundMicros.getScore());
  }

  private static void write(List<DecideRow> rows, Path file) throws IOException {
    try (Writer writer = Files.newBufferedWriter(file);
        CSVPrinter csv = new CSVPrinter(writer, CSVFormat.DEFAULT)) {
      csv.printRecord(
          "sweep",
          "workers",
          "queuedJobs",
          "teams",
          "meanMicros",
          "p50Micros",
          "p99Micros",
          "roundsPerSecond");
      for (DecideRow row : rows) {
        csv.printRecord(row.values());
      }
    }
  }
}
