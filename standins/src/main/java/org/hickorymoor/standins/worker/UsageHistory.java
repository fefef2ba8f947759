package org.hickorymoor.standins.worker;

import java.util.ArrayDeque;
import org.hickorymoor.protocol.platform.Usage;

/** Usage over time, kept as long as a lagging report needs it. Not thread-safe. */
final class UsageHistory {

  private record Point(long sinceMs, int cpuMillis, int memoryMb, int connections) {}

  private final ArrayDeque<Point> points = new ArrayDeque<>();

  /** Notes the usage from now on; {@code reportAtMs} is the oldest time still asked for. */
  void set(long nowMs, int cpuMillis, int memoryMb, int connections, long reportAtMs) {
    points.addLast(new Point(nowMs, cpuMillis, memoryMb, connections));
    dropBefore(reportAtMs);
  }

  Usage at(long timeMs) {
    Usage usage = new Usage(0, 0, 0, timeMs);
    for (Point point : points) {
      if (point.sinceMs > timeMs) {
        break;
      }
      usage = new Usage(point.cpuMillis, point.memoryMb, point.connections, timeMs);
    }
    return usage;
  }

  /** Drops the points that a later one replaced before the given time. */
  private void dropBefore(long timeMs) {
    while (points.size() > 1) {
      Point first = points.removeFirst();
      if (points.getFirst().sinceMs > timeMs) {
        points.addFirst(first);
        return;
      }
    }
  }
}
