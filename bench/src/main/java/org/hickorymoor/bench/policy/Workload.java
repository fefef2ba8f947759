package org.hickorymoor.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.domain.policy.WorkerProfile;

/** Makes up arrivals and workers from a seed: the same seed gives the same replay. */
final class Workload {

  static final int WORKERS = 33;
  static final int WORKERS_PER_RACK = 8;
  private static final int WORKERS_WITH_ACCELERATORS = 8;
  private static final int TEAMS = 24;
  private static final Resources WORKER = new Resources(8, 64, 16_000, 32_768, 0);
  private static final Resources WITH_ACCELERATORS = new Resources(8, 64, 16_000, 32_768, 2);
  private static final Resources ONE = new Resources(1, 1, 1_000, 2_048, 0);
  private static final Resources TWO = new Resources(2, 2, 3_000, 6_144, 0);
  private static final Resources HALF_WORKER = new Resources(4, 4, 8_000, 16_384, 0);
  private static final Resources ACCELERATED = new Resources(2, 1, 2_000, 4_096, 1);
  private static final double[] USE_FACTORS = {0.25, 0.5, 1, 1.5, 2.5, 4};

  /** No task truly uses more of a worker than this. */
  private static final double MAX_TASK_SHARE = 0.9;

  private final SplittableRandom random;
  private final long lengthMs;
  private final double load;
  private final List<Arrival> arrivals = new ArrayList<>();

  private Workload(long seed, long lengthMs, double load) {
    this.random = new SplittableRandom(seed);
    this.lengthMs = lengthMs;
    this.load = load;
  }

  /**
   * Makes up arrivals.
   *
   * @param seed of the random numbers
   * @param lengthMs time over which jobs arrive
   * @param load factor on the rates of arrival
   * @return the arrivals in order of time
   */
  static List<Arrival> arrivals(long seed, long lengthMs, double load) {
    Workload workload = new Workload(seed, lengthMs, load);
    workload.addAll();
    workload.arrivals.sort(Comparator.comparingLong(Arrival::atMs));
    return workload.arrivals;
  }

  static List<WorkerProfile> workers() {
    List<WorkerProfile> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      boolean accelerated = i % (WORKERS / WORKERS_WITH_ACCELERATORS) == 0;
      Resources capacity = accelerated ? WITH_ACCELERATORS : WORKER;
      workers.add(new WorkerProfile("w" + i, "rack-" + i / WORKERS_PER_RACK, capacity, false));
    }
    return workers;
  }

  private void addAll() {
    for (int i = 0; i < 10; i++) {
      add(0, JobKind.SERVICE, JobClass.NORMAL, 4, ONE, Long.MAX_VALUE);
    }
    stream(160, at -> add(at, JobKind.BATCH, JobClass.URGENT, 1, ONE, around(1_500)));
    stream(900, at -> add(at, JobKind.BATCH, JobClass.NORMAL, 1, small(), around(20_000)));
    stream(2_500, at -> add(at, JobKind.BATCH, JobClass.NORMAL, 1, ACCELERATED, around(15_000)));
    stream(15_000, at -> add(at, JobKind.BATCH, JobClass.BATCH, 2, HALF_WORKER, around(45_000)));
    stream(90_000, at -> add(at, JobKind.ALL_AT_ONCE, JobClass.NORMAL, 24, TWO, around(25_000)));
    stream(200_000, at -> add(at, JobKind.BATCH, JobClass.BATCH, 400, ONE, around(40_000)));
  }

  private Resources small() {
    return random.nextInt(3) == 0 ? TWO : ONE;
  }

  /** Adds arrivals at exponential distances. */
  private void stream(double meanDistanceMs, LongConsumer add) {
    double distanceMs = meanDistanceMs / load;
    double atMs = -Math.log(1 - random.nextDouble()) * distanceMs;
    while (atMs < lengthMs) {
      add.accept((long) atMs);
      atMs += -Math.log(1 - random.nextDouble()) * distanceMs;
    }
  }

  /** Returns a run time between a third of and three times a mean. */
  private long around(double meanMs) {
    return (long) (meanMs * Math.pow(3, random.nextDouble(-1, 1)));
  }

  private void add(
      long atMs, JobKind kind, JobClass jobClass, int tasks, Resources demand, long runMs) {
    int team = random.nextInt(TEAMS);
    String name = kind + "-" + jobClass + "-" + demand.slots() + "-" + demand.accelerators();
    JobSpec spec =
        new JobSpec(
            new RequestKey("team-" + team, "key-" + arrivals.size()),
            name,
            kind,
            jobClass,
            tasks,
            demand,
            0,
            "",
            true,
            kind == JobKind.SERVICE ? Spread.RACKS : Spread.NONE,
            0,
            null);
    double wholeWorkers = (double) demand.cpuMillis() / WORKER.cpuMillis();
    double useFactor =
        Math.min(
            MAX_TASK_SHARE / wholeWorkers,
            USE_FACTORS[(team + name.length()) % USE_FACTORS.length]);
    arrivals.add(new Arrival(atMs, "j" + arrivals.size(), spec, runMs, useFactor));
  }
}
