package org.hickorymoor.bench.policy;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.hickorymoor.domain.policy.CellScheduler;
import org.hickorymoor.domain.policy.FirstFitScheduler;
import org.hickorymoor.domain.policy.PolicyScheduler;
import org.hickorymoor.domain.policy.PolicySettings;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Replays the same arrivals with each scheduler and writes the results to a CSV file and plots. */
public final class ReplayMain {

  private static final long MINUTE_MS = 60_000;
  private static final PolicySettings WAITING_FIRST =
      PolicySettings.DEFAULT.withWeights(0.7, 0.2, 0.1);
  private static final PolicySettings PACKING_FIRST =
      PolicySettings.DEFAULT.withWeights(0.2, 0.45, 0.35);
  private static final int PUBLISHED_ACCELERATOR_SKIPS = 3;

  @Option(name = "--out", usage = "output folder for the CSV file and the plots")
  private Path outputFolder = Path.of("docs/plots");

  @Option(name = "--minutes", usage = "length of the arrival period, in simulated minutes")
  private int minutes = 30;

  @Option(name = "--seed", usage = "seed of the first replay")
  private long seed = 1;

  @Option(name = "--seeds", usage = "number of consecutive seeds to replay")
  private int seeds = 3;

  private ReplayMain() {}

  /**
   * Runs every scheduler with every seed and load.
   *
   * @param args command-line flags; an unknown flag prints the usage
   * @throws IOException if an output file cannot be written
   */
  public static void main(String[] args) throws IOException {
    ReplayMain main = new ReplayMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(2);
    }
    main.run();
  }

  private void run() throws IOException {
    Files.createDirectories(outputFolder);
    List<ReplayRow> rows = new ArrayList<>();
    for (double load : new double[] {0.7, 1.0, 1.3}) {
      for (long s = seed; s < seed + seeds; s++) {
        List<Arrival> arrivals = Workload.arrivals(s, minutes * MINUTE_MS, load);
        for (Map.Entry<String, Supplier<CellScheduler>> entry : schedulers(s).entrySet()) {
          ReplayResult result = new Replay(entry.getValue().get(), arrivals).run();
          rows.add(new ReplayRow(load, s, entry.getKey(), result));
          System.out.println(rows.get(rows.size() - 1));
        }
      }
    }
    write(rows);
    new ReplayPlots(outputFolder).draw(rows);
  }

  private static Map<String, Supplier<CellScheduler>> schedulers(long seed) {
    Map<String, Supplier<CellScheduler>> schedulers = new LinkedHashMap<>();
    schedulers.put("random-fit", () -> new RandomFitScheduler(new SplittableRandom(seed)));
    schedulers.put("first-fit", () -> new FirstFitScheduler(new SplittableRandom(seed)));
    schedulers.put("waiting-first", policyScheduler(WAITING_FIRST, seed));
    schedulers.put("packing-first", policyScheduler(PACKING_FIRST, seed));
    schedulers.put(
        "waiting-first-skip-3",
        policyScheduler(WAITING_FIRST.withAcceleratorSkips(PUBLISHED_ACCELERATOR_SKIPS), seed));
    schedulers.put(
        "packing-first-skip-3",
        policyScheduler(PACKING_FIRST.withAcceleratorSkips(PUBLISHED_ACCELERATOR_SKIPS), seed));
    return schedulers;
  }

  private static Supplier<CellScheduler> policyScheduler(PolicySettings settings, long seed) {
    return () -> new PolicyScheduler(settings, new SplittableRandom(seed));
  }

  private void write(List<ReplayRow> rows) throws IOException {
    try (Writer writer = Files.newBufferedWriter(outputFolder.resolve("replay.csv"));
        CSVPrinter csv = new CSVPrinter(writer, CSVFormat.DEFAULT)) {
      csv.printRecord(ReplayRow.HEADER);
      for (ReplayRow row : rows) {
        csv.printRecord(row.values());
      }
    }
  }
}
