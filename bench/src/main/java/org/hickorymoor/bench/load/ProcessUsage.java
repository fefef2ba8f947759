package org.hickorymoor.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What a process has used so far.
 *
 * @param cpuMs processor time since its start, in user and system mode
 * @param residentKb resident memory now
 * @param threads threads now
 */
record ProcessUsage(long cpuMs, long residentKb, long threads) {

  private static final long MS_PER_TICK = 10;
  private static final int USER_FIELD = 11;
  private static final int SYSTEM_FIELD = 12;

  /** Reads the usage of a process from the proc file system. */
  static ProcessUsage of(long pid) throws IOException {
    Path folder = Path.of("/proc", Long.toString(pid));
    return parse(
        Files.readString(folder.resolve("stat")), Files.readAllLines(folder.resolve("status")));
  }

  /** Reads the texts of {@code stat} and {@code status}, where a tick is 10 ms. */
  static ProcessUsage parse(String stat, List<String> status) {
    String afterName = stat.substring(stat.lastIndexOf(')') + 2);
    String[] fields = afterName.trim().split(" ");
    long ticks = Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD]);
    return new ProcessUsage(
        ticks * MS_PER_TICK, number(status, "VmRSS:"), number(status, "Threads:"));
  }

  private static long number(List<String> status, String name) {
    return status.stream()
        .filter(line -> line.startsWith(name))
        .map(line -> line.replaceAll("\\D", ""))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElse(0);
  }
}
