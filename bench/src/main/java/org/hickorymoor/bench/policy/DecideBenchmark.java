package org.hickorymoor.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.policy.Decision;
import org.hickorymoor.domain.policy.PolicyScheduler;
import org.hickorymoor.domain.policy.PolicySettings;
import org.hickorymoor.domain.policy.TaskEnd;
import org.hickorymoor.domain.policy.WorkerProfile;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the latency of one scheduling round in a fully loaded cell: a task ends, a job arrives,
 * and the scheduler makes its decisions.
 *
 * <p>Every worker is full with four tasks, so each round starts about one queued task. One job in
 * ten demands more than a single task end frees; it ages in the queue until the scheduler drains
 * workers for it.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecideBenchmark {

  private static final long SEED = 17;
  private static final int TASKS_PER_WORKER = 4;
  private static final int WORKERS_PER_RACK = 8;
  private static final int ROUNDS_PER_SECOND = 1_600;
  private static final long SECOND_MS = 1_000;
  private static final int LARGE_JOB_INTERVAL = 10;
  private static final Resources WORKER_CAPACITY = new Resources(8, 64, 16_000, 32_768, 0);
  private static final Resources TYPICAL_DEMAND = new Resources(2, 2, 3_000, 6_144, 0);
  private static final Resources LARGE_DEMAND = new Resources(4, 4, 8_000, 16_384, 0);

  /** Number of workers. */
  @Param("110")
  public int workers;

  /** Number of queued jobs. */
  @Param("1000")
  public int queuedJobs;

  /** Number of teams. */
  @Param("48")
  public int teams;

  private final List<TaskId> runningTasks = new ArrayList<>();
  private SplittableRandom random = new SplittableRandom(SEED);
  private PolicyScheduler scheduler = newScheduler();
  private int submittedJobs;
  private long rounds;

  /** Fills all workers to capacity, then queues {@link #queuedJobs} jobs. */
  @Setup(Level.Iteration)
  public void fillWorkersAndQueue() {
    runningTasks.clear();
    submittedJobs = 0;
    rounds = 0;
    random = new SplittableRandom(SEED);
    scheduler = newScheduler();
    for (int i = 0; i < workers; i++) {
      String rack = "rack-" + i / WORKERS_PER_RACK;
      scheduler.workerAvailable(new WorkerProfile("w" + i, rack, WORKER_CAPACITY, false), 0);
    }
    while (runningTasks.size() < workers * TASKS_PER_WORKER) {
      submit(TYPICAL_DEMAND, 0);
      recordStarts(scheduler.decide(0));
    }
    for (int i = 0; i < queuedJobs; i++) {
      submit(nextDemand(), 0);
    }
    recordStarts(scheduler.decide(0));
  }

  /**
   * Ends a random task, submits a job and runs one scheduling round.
   *
   * @return the decisions of the round, so that JMH consumes them
   */
  @Benchmark
  public List<Decision> round() {
    long nowMs = rounds++ * SECOND_MS / ROUNDS_PER_SECOND;
    if (!runningTasks.isEmpty()) {
      endRandomTask(nowMs);
    }
    submit(nextDemand(), nowMs);
    List<Decision> decisions = scheduler.decide(nowMs);
    recordStarts(decisions);
    return decisions;
  }

  private static PolicyScheduler newScheduler() {
    PolicySettings settings =
        PolicySettings.DEFAULT.withWeights(0.7, 0.2, 0.1).withInitialCapacityShare(1);
    return new PolicyScheduler(settings, new SplittableRandom(SEED));
  }

  private Resources nextDemand() {
    return submittedJobs % LARGE_JOB_INTERVAL == 0 ? LARGE_DEMAND : TYPICAL_DEMAND;
  }

  private void endRandomTask(long nowMs) {
    int index = random.nextInt(runningTasks.size());
    TaskId task = runningTasks.get(index);
    runningTasks.set(index, runningTasks.get(runningTasks.size() - 1));
    runningTasks.remove(runningTasks.size() - 1);
    TaskEnd end = new TaskEnd(TaskEnd.Outcome.SUCCEEDED, SECOND_MS);
    scheduler.taskEnded(task, end, nowMs);
  }

  private void recordStarts(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Start start) {
        runningTasks.add(start.task());
      }
    }
  }

  private void submit(Resources demand, long nowMs) {
    String jobId = "j" + submittedJobs++;
    JobSpec spec =
        new JobSpec(
            new RequestKey("team-" + random.nextInt(teams), jobId),
            "plate",
            JobKind.BATCH,
            JobClass.NORMAL,
            1,
            demand,
            0,
            "",
            true,
            Spread.NONE,
            0,
            null);
    scheduler.submit(jobId, spec, List.of(new TaskId(jobId, 0, 1)), nowMs);
  }
}
