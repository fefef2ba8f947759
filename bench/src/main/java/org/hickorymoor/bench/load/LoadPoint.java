package org.hickorymoor.bench.load;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Locale;

/**
 * Cell size and load of one measurement.
 *
 * @param workers workers in the domain
 * @param daemons entry hosts in the domain
 * @param listedElsewhere workers of other domains in the host list
 * @param startsPerSecond task starts per second
 * @param tasksPerJob tasks per job
 * @param running service tasks that run during the whole measurement
 * @param teams teams that submit jobs, in rotation
 * @param configsPerMinute configuration changes per minute
 */
record LoadPoint(
    int workers,
    int daemons,
    int listedElsewhere,
    int startsPerSecond,
    int tasksPerJob,
    int running,
    int teams,
    int configsPerMinute) {

  private static final int MAX_WORKERS = 128;
  private static final int MAX_DAEMONS = 3;
  private static final int MAX_LISTED = 2_000;
  private static final int MAX_STARTS = 400;
  private static final int MAX_RUNNING = 800;
  private static final int MAX_TEAMS = 480;
  private static final int MAX_CONFIGS = 600;

  /** The parameter varied in a series of measurements. */
  enum Axis {
    WORKERS,
    DAEMONS,
    LISTED,
    STARTS,
    RUNNING,
    TEAMS,
    CONFIGS;

    String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Checks the upper bounds, which limit the load on the machine that runs the measurement. */
  LoadPoint {
    check("workers", workers, 1, MAX_WORKERS);
    check("daemons", daemons, 1, MAX_DAEMONS);
    check("listedElsewhere", listedElsewhere, 0, MAX_LISTED);
    check("startsPerSecond", startsPerSecond, 0, MAX_STARTS);
    check("tasksPerJob", tasksPerJob, 1, MAX_STARTS);
    check("running", running, 0, MAX_RUNNING);
    check("teams", teams, 1, MAX_TEAMS);
    check("configsPerMinute", configsPerMinute, 0, MAX_CONFIGS);
  }

  private static void check(String name, int value, int min, int max) {
    checkArgument(
        value >= min && value <= max, "expected %s from %s to %s, got %s", name, min, max, value);
  }

  /** Returns a copy with the parameter of the given axis replaced. */
  LoadPoint with(Axis axis, int value) {
    return new LoadPoint(
        axis == Axis.WORKERS ? value : workers,
        axis == Axis.DAEMONS ? value : daemons,
        axis == Axis.LISTED ? value : listedElsewhere,
        axis == Axis.STARTS ? value : startsPerSecond,
        tasksPerJob,
        axis == Axis.RUNNING ? value : running,
        axis == Axis.TEAMS ? value : teams,
        axis == Axis.CONFIGS ? value : configsPerMinute);
  }
}
