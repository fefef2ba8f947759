package org.hickorymoor.bench.policy;

import java.util.List;

/**
 * Times of one round at one size.
 *
 * @param sweep what varies in this series
 * @param workers number of workers
 * @param queuedJobs number of waiting jobs
 * @param teams number of teams
 * @param meanMicros mean time
 * @param p50Micros median time
 * @param p99Micros time that one round in a hundred exceeds
 * @param roundsPerSecond rounds per second of one thread
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
        round(meanMicros),
        round(p50Micros),
        round(p99Micros),
        Math.round(roundsPerSecond));
  }

  /** Returns the size that varies in this series. */
  int size() {
    return switch (sweep) {
      case "queuedJobs" -> queuedJobs;
      case "teams" -> teams;
      default -> workers;
    };
  }

  private static double round(double value) {
    return Math.round(value * 100) / 100.0;
  }
}
