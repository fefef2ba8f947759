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
 * Times one round of a full cell: a task ends, a job arrives, and the scheduler decides.
 *
 * <p>All workers are full with four tasks each, so each round starts about one task out of the
 * queue. One job in ten needs more than one end frees; it ages and gets workers drained.
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
  private static final int LARGE_EVERY = 10;
  private static final Resources WORKER = new Resources(8, 64, 16_000, 32_768, 0);
  private static final Resources USUAL = new Resources(2, 2, 3_000, 6_144, 0);
  private static final Resources LARGE = new Resources(4, 4, 8_000, 16_384, 0);

  /** Number of workers. */
  @Param("110")
  public int workers;

  /** Number of jobs that wait. */
  @Param("1000")
  public int queuedJobs;

  /** Number of teams. */
  @Param("48")
  public int teams;

  private final List<TaskId> running = new ArrayList<>();
  private SplittableRandom random = new SplittableRandom(SEED);
  private PolicyScheduler scheduler = newScheduler();
  private int submitted;
  private long rounds;

  /** Fills the workers and the queue. */
  @Setup(Level.Iteration)
  public void fill() {
    running.clear();
    submitted = 0;
    rounds = 0;
    random = new SplittableRandom(SEED);
    scheduler = newScheduler();
    for (int i = 0; i < workers; i++) {
      String rack = "rack-" + i / WORKERS_PER_RACK;
      scheduler.workerAvailable(new WorkerProfile("w" + i, rack, WORKER, false), 0);
    }
    while (running.size() < workers * TASKS_PER_WORKER) {
      submit(USUAL, 0);
      note(scheduler.decide(0));
    }
    for (int i = 0; i < queuedJobs; i++) {
      submit(nextDemand(), 0);
    }
    note(scheduler.decide(0));
  }

  /**
   * Ends a task, submits a job and decides.
   *
   * @return the decisions
   */
  @Benchmark
  public List<Decision> round() {
    long nowMs = rounds++ * SECOND_MS / ROUNDS_PER_SECOND;
    if (!running.isEmpty()) {
      end(nowMs);
    }
    submit(nextDemand(), nowMs);
    List<Decision> decisions = scheduler.decide(nowMs);
    note(decisions);
    return decisions;
  }

  private static PolicyScheduler newScheduler() {
    PolicySettings settings =
        PolicySettings.DEFAULT.withWeights(0.7, 0.2, 0.1).withInitialCapacityShare(1);
    return new PolicyScheduler(settings, new SplittableRandom(SEED));
  }

  private Resources nextDemand() {
    return submitted % LARGE_EVERY == 0 ? LARGE : USUAL;
  }

  private void end(long nowMs) {
    int index = random.nextInt(running.size());
    TaskId task = running.get(index);
    running.set(index, running.get(running.size() - 1));
    running.remove(running.size() - 1);
    TaskEnd end = new TaskEnd(TaskEnd.Outcome.SUCCEEDED, SECOND_MS);
    scheduler.taskEnded(task, end, nowMs);
  }

  private void note(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Start start) {
        running.add(start.task());
      }
    }
  }

  private void submit(Resources demand, long nowMs) {
    String jobId = "j" + submitted++;
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
