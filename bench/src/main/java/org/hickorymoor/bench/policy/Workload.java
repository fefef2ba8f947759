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

/** Generates a synthetic workload; the same seed always gives the same arrivals. */
final class Workload {

  static final int WORKERS = 33;
  static final int WORKERS_PER_RACK = 8;
  private static final int ACCELERATOR_WORKERS = 8;
  private static final int TEAMS = 24;
  private static final Resources WORKER_CAPACITY = new Resources(8, 64, 16_000, 32_768, 0);
  private static final Resources ACCELERATOR_WORKER_CAPACITY =
      new Resources(8, 64, 16_000, 32_768, 2);
  private static final Resources ONE_SLOT_DEMAND = new Resources(1, 1, 1_000, 2_048, 0);
  private static final Resources TWO_SLOT_DEMAND = new Resources(2, 2, 3_000, 6_144, 0);
  private static final Resources HALF_WORKER_DEMAND = new Resources(4, 4, 8_000, 16_384, 0);
  private static final Resources ACCELERATOR_DEMAND = new Resources(2, 1, 2_000, 4_096, 1);
  private static final double[] USAGE_FACTORS = {0.25, 0.5, 1, 1.5, 2.5, 4};

  /** Upper bound on the share of a worker's CPU that a single task actually uses. */
  private static final double MAX_TASK_WORKER_SHARE = 0.9;

  private final SplittableRandom random;
  private final long durationMs;
  private final double load;
  private final List<Arrival> arrivals = new ArrayList<>();

  private Workload(long seed, long durationMs, double load) {
    this.random = new SplittableRandom(seed);
    this.durationMs = durationMs;
    this.load = load;
  }

  /**
   * Generates the arrivals of all job types.
   *
   * @param seed seed of the random number generator
   * @param durationMs length of the arrival period
   * @param load factor applied to the arrival rates
   * @return the arrivals, ordered by arrival time
   */
  static List<Arrival> arrivals(long seed, long durationMs, double load) {
    Workload workload = new Workload(seed, durationMs, load);
    workload.addAllJobs();
    workload.arrivals.sort(Comparator.comparingLong(Arrival::atMs));
    return workload.arrivals;
  }

  static List<WorkerProfile> workers() {
    List<WorkerProfile> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      boolean accelerated = i % (WORKERS / ACCELERATOR_WORKERS) == 0;
      Resources capacity = accelerated ? ACCELERATOR_WORKER_CAPACITY : WORKER_CAPACITY;
      workers.add(new WorkerProfile("w" + i, "rack-" + i / WORKERS_PER_RACK, capacity, false));
    }
    return workers;
  }

  private void addAllJobs() {
    for (int i = 0; i < 10; i++) {
      addJob(0, JobKind.SERVICE, JobClass.NORMAL, 4, ONE_SLOT_DEMAND, Long.MAX_VALUE);
    }
    addPoissonArrivals(
        160,
        at -> addJob(at, JobKind.BATCH, JobClass.URGENT, 1, ONE_SLOT_DEMAND, randomRunMs(1_500)));
    addPoissonArrivals(
        900,
        at ->
            addJob(
                at, JobKind.BATCH, JobClass.NORMAL, 1, randomSmallDemand(), randomRunMs(20_000)));
    addPoissonArrivals(
        2_500,
        at ->
            addJob(at, JobKind.BATCH, JobClass.NORMAL, 1, ACCELERATOR_DEMAND, randomRunMs(15_000)));
    addPoissonArrivals(
        15_000,
        at ->
            addJob(at, JobKind.BATCH, JobClass.BATCH, 2, HALF_WORKER_DEMAND, randomRunMs(45_000)));
    addPoissonArrivals(
        90_000,
        at ->
            addJob(
                at,
                JobKind.ALL_AT_ONCE,
                JobClass.NORMAL,
                24,
                TWO_SLOT_DEMAND,
                randomRunMs(25_000)));
    addPoissonArrivals(
        200_000,
        at -> addJob(at, JobKind.BATCH, JobClass.BATCH, 400, ONE_SLOT_DEMAND, randomRunMs(40_000)));
  }

  private Resources randomSmallDemand() {
    return random.nextInt(3) == 0 ? TWO_SLOT_DEMAND : ONE_SLOT_DEMAND;
  }

  /** Adds arrivals with exponentially distributed intervals. */
  private void addPoissonArrivals(double meanIntervalMs, LongConsumer add) {
    double intervalMs = meanIntervalMs / load;
    double atMs = -Math.log(1 - random.nextDouble()) * intervalMs;
    while (atMs < durationMs) {
      add.accept((long) atMs);
      atMs += -Math.log(1 - random.nextDouble()) * intervalMs;
    }
  }

  /** Returns a log-uniform run time between a third of and three times {@code meanMs}. */
  private long randomRunMs(double meanMs) {
    return (long) (meanMs * Math.pow(3, random.nextDouble(-1, 1)));
  }

  private void addJob(
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
    double declaredWorkerShare = (double) demand.cpuMillis() / WORKER_CAPACITY.cpuMillis();
    double usageFactor =
        Math.min(
            MAX_TASK_WORKER_SHARE / declaredWorkerShare,
            USAGE_FACTORS[(team + name.length()) % USAGE_FACTORS.length]);
    arrivals.add(new Arrival(atMs, "j" + arrivals.size(), spec, runMs, usageFactor));
  }
}
