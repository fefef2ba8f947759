package org.hickorymoor.bench.policy;

import java.util.List;

/**
 * Latency of a scheduling round at one cell size.
 *
 * @param sweep the dimension varied in this series
 * @param workers number of workers
 * @param queuedJobs number of queued jobs
 * @param teams number of teams
 * @param meanMicros mean latency
 * @param p50Micros median latency
 * @param p99Micros 99th percentile of the latency
 * @param roundsPerSecond rounds per second on a single thread
 */
record DecideRow(
    String sweep,
    int workers,
    int queuedJobs,
    int teams,
    double meanMicros,
    double p50Micros,
    double p99Micros,
    double roundsPerSecond) {

  List<Object> values() {
    return List.of(
        sweep,
        workers,
        queuedJobs,
        teams,
        roundToHundredths(meanMicros),
        roundToHundredths(p50Micros),
        roundToHundredths(p99Micros),
        Math.round(roundsPerSecond));
  }

  /** Returns the value of the dimension varied in this series. */
  int sweepValue() {
    return switch (sweep) {
      case "queuedJobs" -> queuedJobs;
      case "teams" -> teams;
      default -> workers;
    };
  }

  private static double roundToHundredths(double value) {
    return Math.round(value * 100) / 100.0;
  }
}
