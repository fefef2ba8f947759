package org.hickorymoor.domain.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.RunTimes;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.Urgency;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.junit.jupiter.api.Test;

/**
 * Replays drawn loads on a pool of workers: log-normal run times, 3 % of the runs seven times as
 * long, workers 1.0 to 1.3 times as slow.
 */
final class RunTimeReplayTest {

  private static final QueuePolicy POLICY = new QueuePolicy("q", "pool", 0, 3, 1.5, 600, null);
  private static final int SEEDS = 3;
  private static final double POOR_ESTIMATE_FACTOR = 2.5;
  private static final int JOBS = 4_000;
  private static final int SLOTS = 60;
  private static final int IMAGES = 30;
  private static final int MAX_TASKS = 6;
  private static final double MAX_SLOWNESS = 1.3;
  private static final double STRAGGLERS = 0.03;
  private static final double STRAGGLER_FACTOR = 7;

  /** Share of the pool that the load needs; above 1 it is full for most of the time. */
  private static final double LOAD = 1.05;

  private static final class Job {
    private final Submission submission;
    private final JobProgress progress;
    private final double typicalMs;

    /** Factors of the run times of the tasks, the same whatever the order. */
    private final double[] taskFactors;

    private int waiting;
    private int unfinished;

    Job(Submission submission, double typicalMs, Random random) {
      this.submission = submission;
      this.progress = new JobProgress(submission);
      this.typicalMs = typicalMs;
      this.waiting = submission.spec().steps().get(0).count();
      this.unfinished = waiting;
      this.taskFactors = random.doubles(waiting, 1.0, MAX_SLOWNESS).toArray();
      for (int task = 0; task < waiting; task++) {
        taskFactors[task] *= Math.exp(0.2 * random.nextGaussian());
        taskFactors[task] *= random.nextDouble() < STRAGGLERS ? STRAGGLER_FACTOR : 1;
      }
    }

    private RunDescriptor descriptor() {
      return describe(submission);
    }
  }

  private record Run(double endMs, double tookMs, Job job) {}

  /** What changes for callers. */
  private record Result(double errorLearned, double errorDeclared, double onTimeShare) {}

  private static RunDescriptor describe(Submission submission) {
    StepSpec step = submission.spec().steps().get(0);
    return new RunDescriptor("q", step.image(), submission.jobId(), 0, step.estimatedMs());
  }

  private static StepSpec step(int count, String image, long estimatedMs) {
    return new StepSpec(
        count,
        1_000,
        512,
        0,
        estimatedMs,
        List.of(),
        false,
        false,
        false,
        null,
        null,
        0,
        false,
        false,
        image,
        0,
        false,
        0);
  }

  /** Draws jobs whose estimates are off by a factor, up or down. */
  private static List<Job> draw(Random random, double estimateFactor) {
    double[] imageMs = new double[IMAGES];
    for (int image = 0; image < IMAGES; image++) {
      imageMs[image] = 1_200 * Math.exp(0.9 * random.nextGaussian());
    }
    List<Job> jobs = new ArrayList<>();
    double work = 0;
    List<Double> arrivals = new ArrayList<>();
    double arrivalMs = 0;
    for (int i = 0; i < JOBS; i++) {
      arrivalMs -= Math.log(1 - random.nextDouble());
      arrivals.add(arrivalMs);
    }
    List<Double> typical = new ArrayList<>();
    List<StepSpec> steps = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      int image = random.nextInt(IMAGES);
      double typicalMs = imageMs[image] * Math.exp(0.3 * random.nextGaussian());
      double factor = random.nextBoolean() ? estimateFactor : 1 / estimateFactor;
      int count = 1 + random.nextInt(MAX_TASKS);
      typical.add(typicalMs);
      steps.add(step(count, "image" + image, Math.max(1, Math.round(typicalMs * factor))));
      work += count * typicalMs * 1.15 * (1 + STRAGGLERS * (STRAGGLER_FACTOR - 1));
    }
    double spacingMs = work / SLOTS / LOAD / arrivalMs;
    for (int i = 0; i < JOBS; i++) {
      WorkloadSpec spec = new WorkloadSpec("", List.of(steps.get(i)), 0, 0, 0);
      long acceptedMs = Math.round(arrivals.get(i) * spacingMs);
      jobs.add(new Job(new Submission("j" + i, acceptedMs, POLICY, spec), typical.get(i), random));
    }
    return jobs;
  }

  private static Result replay(long seed, double estimateFactor, boolean learned) {
    Random random = new Random(seed);
    List<Job> jobs = draw(random, estimateFactor);
    RunTimeModel model = new RunTimeModel();
    RunTimes runTimes =
        (submission, index) -> {
          RunDescriptor run = describe(submission);
          return learned && model.isLearnedBetter(run)
              ? model.predict(run, RunLocation.TYPICAL).medianMs()
              : run.estimatedMs();
        };
    int free = SLOTS;
    List<Job> ready = new ArrayList<>();
    PriorityQueue<Run> running = new PriorityQueue<>(Comparator.comparingDouble(Run::endMs));
    double errorLearned = 0;
    double errorDeclared = 0;
    int finished = 0;
    int arrived = 0;
    int onTime = 0;
    while (arrived < JOBS || !running.isEmpty()) {
      double arrivalMs =
          arrived < JOBS ? jobs.get(arrived).submission.acceptedAtMs() : Double.MAX_VALUE;
      double endMs = running.isEmpty() ? Double.MAX_VALUE : running.peek().endMs();
      double nowMs = Math.min(arrivalMs, endMs);
      if (arrivalMs <= endMs) {
        ready.add(jobs.get(arrived++));
      } else {
        Run ended = running.remove();
        free++;
        PredictionErrors errors =
            model.learnFinished(
                ended.job().descriptor(), RunLocation.TYPICAL, Math.round(ended.tookMs()));
        errorLearned += errors.learned();
        errorDeclared += errors.declared();
        finished++;
        Job job = ended.job();
        job.unfinished--;
        long objectiveMs = POLICY.objectiveMs(Math.round(job.typicalMs));
        if (job.unfinished == 0 && nowMs - job.submission.acceptedAtMs() <= objectiveMs) {
          onTime++;
        }
      }
      while (free > 0 && !ready.isEmpty()) {
        Job next = mostUrgent(ready, Math.round(nowMs), runTimes);
        free--;
        next.waiting--;
        double tookMs = next.typicalMs * next.taskFactors[next.waiting];
        running.add(new Run(nowMs + tookMs, tookMs, next));
        if (next.waiting == 0) {
          ready.remove(next);
        }
      }
    }
    return new Result(errorLearned / finished, errorDeclared / finished, (double) onTime / JOBS);
  }

  private static Job mostUrgent(List<Job> ready, long nowMs, RunTimes runTimes) {
    return ready.stream()
        .min(
            Comparator.comparing(
                job ->
                    Urgency.of(job.submission, job.progress.steps(0).get(0), nowMs, runTimes, 0)))
        .orElseThrow();
  }

  // Guards against learned times that are no better than poor estimates, or help no caller.
  @Test
  void poorEstimatesAreReplacedAndMoreJobsAreOnTime() {
    double onTimeLearned = 0;
    double onTimeDeclared = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Result learned = replay(seed, POOR_ESTIMATE_FACTOR, true);
      Result declared = replay(seed, POOR_ESTIMATE_FACTOR, false);

      assertThat(learned.errorLearned()).isLessThan(0.9 * learned.errorDeclared());
      assertThat(learned.onTimeShare()).isAtLeast(declared.onTimeShare());
      onTimeLearned += learned.onTimeShare();
      onTimeDeclared += declared.onTimeShare();
    }

    assertThat(onTimeLearned).isGreaterThan(onTimeDeclared);
  }

  // Guards against learned times that take the place of estimates which are better.
  @Test
  void exactEstimatesDontGetWorse() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Result learned = replay(seed, 1, true);
      Result declared = replay(seed, 1, false);

      assertThat(learned.onTimeShare()).isAtLeast(declared.onTimeShare());
    }
  }
}
