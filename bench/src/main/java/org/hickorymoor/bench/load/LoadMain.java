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
 * Measures the resource usage of the entry hosts at a series of points along one axis, and fits
 * lines to the results.
 *
 * <p>{@code LoadMain --axis workers --points 4,16,48,106 --out docs/capacity} writes {@code
 * workers.csv} with one row for each entry host and point, and {@code workers-lines.csv}.
 */
public final class LoadMain {

  private static final int EXIT_USAGE = 2;

  @Option(
      name = "--axis",
      required = true,
      metaVar = "NAME",
      usage = "parameter varied in the series")
  private LoadPoint.Axis axis = LoadPoint.Axis.WORKERS;

  @Option(
      name = "--points",
      required = true,
      metaVar = "N,N,...",
      usage = "values of the varied parameter")
  private String points = "";

  @Option(name = "--out", metaVar = "FOLDER", usage = "folder for the CSV files")
  private String out = "docs/capacity";

  @Option(
      name = "--name",
      metaVar = "NAME",
      usage = "base name of the CSV files; defaults to the axis name")
  private String name = "";

  @Option(name = "--workers", metaVar = "N", usage = "workers in the domain")
  private int workers = 48;

  @Option(name = "--daemons", metaVar = "N", usage = "entry hosts in the domain")
  private int daemons = 2;

  @Option(name = "--listed", metaVar = "N", usage = "workers of other domains in the host list")
  private int listed = 0;

  @Option(name = "--starts", metaVar = "N", usage = "task starts per second")
  private int starts = 0;

  @Option(name = "--tasks-per-job", metaVar = "N", usage = "tasks per job")
  private int tasksPerJob = 1;

  @Option(
      name = "--running",
      metaVar = "N",
      usage = "service tasks that run during the whole measurement")
  private int running = 0;

  @Option(name = "--teams", metaVar = "N", usage = "teams that submit jobs, in rotation")
  private int teams = 8;

  @Option(name = "--configs", metaVar = "N", usage = "configuration changes per minute")
  private int configs = 0;

  @Option(
      name = "--warm-up",
      metaVar = "SECONDS",
      usage = "time under load before each measurement")
  private int warmUpSeconds = 6;

  @Option(name = "--seconds", metaVar = "SECONDS", usage = "length of each measurement")
  private int seconds = 10;

  @Option(name = "--repeat", metaVar = "N", usage = "number of measurements of each point")
  private int repeat = 1;

  @Option(
      name = "--kill-coordinator",
      usage = "kill the coordinator after each measurement and time the takeover")
  private boolean killCoordinator = false;

  private LoadMain() {}

  /**
   * Runs one series.
   *
   * @param args command-line flags; an unknown flag prints the usage
   * @throws IOException if a process cannot be started or a file cannot be written
   * @throws InterruptedException if the thread is interrupted while it waits for a process
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
    String file = name.isEmpty() ? axis.label() : name;
    List<LoadRow> rows = new ArrayList<>();
    for (int value : values()) {
      for (int i = 0; i < repeat; i++) {
        List<LoadRow> measured = run.measure(axis, value, base.with(axis, value));
        measured.forEach(row -> System.out.println(row.values()));
        rows.addAll(measured);
        LoadCsvWriter.writeRows(rows, folder.resolve(file + ".csv"));
      }
    }
    LoadCsvWriter.writeFits(rows, folder.resolve(file + "-lines.csv"));
  }

  private List<Integer> values() {
    return Arrays.stream(points.split(",", -1)).map(String::trim).map(Integer::valueOf).toList();
  }
}
