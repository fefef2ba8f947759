package org.hickorymoor.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Measures a series of points along one axis and fits lines to what the entry hosts cost.
 *
 * <p>{@code LoadMain --axis workers --points 4,16,48,106 --out docs/capacity} writes {@code
 * workers.csv} with one row for each entry host and point, and {@code workers-lines.csv}.
 */
public final class LoadMain {

  private static final int EXIT_USAGE = 2;

  @Option(name = "--axis", required = true, metaVar = "NAME", usage = "what the series varies")
  private LoadPoint.Axis axis = LoadPoint.Axis.WORKERS;

  @Option(name = "--points", required = true, metaVar = "N,N,...", usage = "values on the axis")
  private String points = "";

  @Option(name = "--out", metaVar = "FOLDER", usage = "folder for the CSV files")
  private String out = "docs/capacity";

  @Option(
      name = "--name",
      metaVar = "NAME",
      usage = "name of the files; that of the axis if absent")
  private String name = "";

  @Option(name = "--workers", metaVar = "N", usage = "workers of the domain")
  private int workers = 48;

  @Option(name = "--daemons", metaVar = "N", usage = "entry hosts of the domain")
  private int daemons = 2;

  @Option(name = "--listed", metaVar = "N", usage = "workers of other domains in the host list")
  private int listed = 0;

  @Option(name = "--starts", metaVar = "N", usage = "tasks to start a second")
  private int starts = 0;

  @Option(name = "--tasks-per-job", metaVar = "N", usage = "tasks of each job")
  private int tasksPerJob = 1;

  @Option(name = "--running", metaVar = "N", usage = "service tasks that run throughout")
  private int running = 0;

  @Option(name = "--teams", metaVar = "N", usage = "teams that submit in turn")
  private int teams = 8;

  @Option(name = "--configs", metaVar = "N", usage = "changes of configuration a minute")
  private int configs = 0;

  @Option(name = "--warm-up", metaVar = "SECONDS", usage = "time under load before measuring")
  private int warmUpSeconds = 6;

  @Option(name = "--seconds", metaVar = "SECONDS", usage = "time measured at each point")
  private int seconds = 10;

  @Option(name = "--repeat", metaVar = "N", usage = "how often each point is measured")
  private int repeat = 1;

  @Option(name = "--kill-coordinator", usage = "kill it after each point and time the takeover")
  private boolean killCoordinator = false;

  private LoadMain() {}

  /**
   * Runs one series.
   *
   * @param args flags, as given by a wrong one
   * @throws IOException if a process can't be started or a file can't be written
   * @throws InterruptedException if interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    LoadMain main = new LoadMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
      main.run();
    } catch (CmdLineException | IllegalArgumentException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    } catch (LoadException e) {
      System.err.println("load: " + e.getMessage());
      System.exit(1);
    }
    System.exit(0);
  }

  private void run() throws IOException, LoadException, InterruptedException {
    LoadPoint base =
        new LoadPoint(workers, daemons, listed, starts, tasksPerJob, running, teams, configs);
    Path folder = Files.createDirectories(Path.of(out));
    LoadRun run =
        new LoadRun(Files.createTempDirectory("load"), warmUpSeconds, seconds, killCoordinator);
    String file = name.isEmpty() ? axis.text() : name;
    List<LoadRow> rows = new ArrayList<>();
    for (int value : values()) {
      for (int i = 0; i < repeat; i++) {
        List<LoadRow> measured = run.measure(axis, value, base.with(axis, value));
        measured.forEach(row -> System.out.println(row.values()));
        rows.addAll(measured);
        LoadFiles.writeRows(rows, folder.resolve(file + ".csv"));
      }
    }
    LoadFiles.writeLines(rows, folder.resolve(file + "-lines.csv"));
  }

  private List<Integer> values() {
    return Arrays.stream(points.split(",", -1)).map(String::trim).map(Integer::valueOf).toList();
  }
}
