package org.hickorymoor.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * CPU time, memory and threads of a process at one moment.
 *
 * @param cpuMs user and system CPU time since the start of the process
 * @param residentKb resident set size
 * @param threads number of threads
 */
record ProcessUsage(long cpuMs, long residentKb, long threads) {

  private static final long MS_PER_CLOCK_TICK = 10;
  private static final int USER_TIME_FIELD = 11;
  private static final int SYSTEM_TIME_FIELD = 12;

  /** Reads the usage of a process from {@code /proc}. */
  static ProcessUsage of(long pid) throws IOException {
    Path procFolder = Path.of("/proc", Long.toString(pid));
    return parse(
        Files.readString(procFolder.resolve("stat")),
        Files.readAllLines(procFolder.resolve("status")));
  }

  /** Parses {@code /proc/PID/stat} and {@code /proc/PID/status}, assuming clock ticks of 10 ms. */
  static ProcessUsage parse(String stat, List<String> status) {
    String afterName = stat.substring(stat.lastIndexOf(')') + 2);
    String[] fields = afterName.trim().split(" ");
    long ticks =
        Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
    return new ProcessUsage(
        ticks * MS_PER_CLOCK_TICK, numberAfter(status, "VmRSS:"), numberAfter(status, "Threads:"));
  }

  private static long numberAfter(List<String> status, String name) {
    return status.stream()
        .filter(line -> line.startsWith(name))
        .map(line -> line.replaceAll("\\D", ""))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElse(0);
  }
}
