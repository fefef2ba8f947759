package org.hickorymoor.standins.worker;

import java.util.ArrayDeque;
import org.hickorymoor.protocol.platform.Usage;

/** Usage over time, retained for as long as delayed usage reports need it. Not thread-safe. */
final class UsageHistory {

  private record Sample(long sinceMs, int cpuMillis, int memoryMb, int connections) {}

  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /**
   * Adds the usage from {@code nowMs} on; {@code usageReportAtMs} is the earliest time that is
   * still queried.
   */
  void set(long nowMs, int cpuMillis, int memoryMb, int connections, long usageReportAtMs) {
    samples.addLast(new Sample(nowMs, cpuMillis, memoryMb, connections));
    dropBefore(usageReportAtMs);
  }

  Usage at(long timeMs) {
    Usage usage = new Usage(0, 0, 0, timeMs);
    for (Sample sample : samples) {
      if (sample.sinceMs > timeMs) {
        break;
      }
      usage = new Usage(sample.cpuMillis, sample.memoryMb, sample.connections, timeMs);
    }
    return usage;
  }

  /** Drops samples that a later one had superseded by the given time. */
  private void dropBefore(long timeMs) {
    while (samples.size() > 1) {
      Sample first = samples.removeFirst();
      if (samples.getFirst().sinceMs > timeMs) {
        samples.addFirst(first);
        return;
      }
    }
  }
}
