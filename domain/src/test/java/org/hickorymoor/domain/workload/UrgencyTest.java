package org.hickorymoor.domain.workload;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiFunction;
import org.hickorymoor.domain.workload.Urgency.Timeliness;
import org.junit.jupiter.api.Test;

final class UrgencyTest {

  private static final long TARGET_LATENCY_MS = 600;
  private static final double STRETCH = 1.5;

  private static StepSpec step(long estimatedMs, List<Integer> after, boolean longRunning) {
    return TestSteps.step(1, estimatedMs, after, false, longRunning);
  }

  private static Submission job(int priority, long acceptedAtMs, StepSpec... steps) {
    QueuePolicy policy =
        new QueuePolicy("q", "pool", priority, 3, STRETCH, TARGET_LATENCY_MS, null);
    return new Submission(
        "job" + acceptedAtMs,
        acceptedAtMs,
        policy,
        new WorkloadSpec("payload", List.of(steps), 0, 0, 0));
  }

  private static Urgency urgencyOf(Submission job, StepProgress step, long nowMs) {
    return Urgency.of(job, step, nowMs, RunTimes.DECLARED, 0);
  }

  private static long objectiveMs(Submission job) {
    return job.policy()
        .objectiveMs(job.spec().criticalPathMs(step -> RunTimes.DECLARED.expectedMs(job, step)));
  }

  private static Urgency urgencyOfFirstStep(Submission job, long nowMs) {
    return urgencyOf(job, new JobProgress(job).steps(0).get(0), nowMs);
  }

  @Test
  void timelinessDependsOnRemainingCriticalPath() {
    Submission job = job(0, 1_000, step(400, List.of(), false), step(200, List.of(0), false));

    assertThat(urgencyOfFirstStep(job, 1_900).timeliness()).isEqualTo(Timeliness.ON_TIME);
    assertThat(urgencyOfFirstStep(job, 1_901).timeliness()).isEqualTo(Timeliness.LATE);
    assertThat(urgencyOfFirstStep(job, 4_900).timeliness()).isEqualTo(Timeliness.LATE);
    assertThat(urgencyOfFirstStep(job, 4_901).timeliness()).isEqualTo(Timeliness.TOO_LATE);
    StepProgress last = new JobProgress(job).steps(0).get(1);
    assertThat(urgencyOf(job, last, 2_300).timeliness()).isEqualTo(Timeliness.ON_TIME);
  }

  @Test
  void longRunningStepIsNeverTooLate() {
    assertThat(urgencyOfFirstStep(job(1, 0, step(400, List.of(), true)), 1_000_000).timeliness())
        .isEqualTo(Timeliness.ON_TIME);
  }

  @Test
  void lateJobOfHigherPriorityGoesFirstAndTooLateJobGoesLast() {
    Submission urgent = job(0, 0, step(400, List.of(), false));
    Urgency late = urgencyOfFirstStep(urgent, 1_500);
    Urgency tooLate = urgencyOfFirstStep(urgent, 10_000);
    Urgency normal = urgencyOfFirstStep(job(2, 9_900, step(400, List.of(), false)), 10_000);

    assertThat(late).isLessThan(normal);
    assertThat(tooLate).isGreaterThan(normal);
  }

  /**
   * Guards against a backlog that makes new jobs late. After an outage a backlog of late jobs is
   * waiting, and new jobs arrive at nine tenths of the workers' capacity. With earliest deadline
   * first, every new job waits behind the backlog and is late as well.
   */
  @Test
  void newJobsAreOnTimeDespiteBacklogAfterOutage() {
    int byDeadline =
        onTime(
            (job, nowMs) ->
                new Urgency(
                    Timeliness.ON_TIME,
                    job.policy().priority(),
                    job.acceptedAtMs() + objectiveMs(job)));
    int byUrgency = onTime(UrgencyTest::urgencyOfFirstStep);

    assertThat(byUrgency).isAtLeast(NEW_JOBS * 9 / 10);
    assertThat(byDeadline).isLessThan(NEW_JOBS / 2);
  }

  private static final int WORKERS = 10;
  private static final int BACKLOG_JOBS = 100;
  private static final int NEW_JOBS = 180;
  private static final long RUN_TIME_MS = 1_000;

  /**
   * Simulates the workers and returns the number of new jobs that complete within their objective.
   */
  private static int onTime(BiFunction<Submission, Long, Urgency> order) {
    List<Submission> waiting = new ArrayList<>();
    for (int i = 0; i < BACKLOG_JOBS; i++) {
      waiting.add(job(0, i * 50, step(RUN_TIME_MS, List.of(), false)));
    }
    final long outageEndMs = BACKLOG_JOBS * 50;
    long[] freeAtMs = new long[WORKERS];
    int onTime = 0;
    int arrived = 0;
    for (long nowMs = outageEndMs; nowMs < outageEndMs + 25_000; nowMs += 10) {
      while (arrived < NEW_JOBS && outageEndMs + arrived * 111L <= nowMs) {
        waiting.add(job(0, outageEndMs + arrived * 111L, step(RUN_TIME_MS, List.of(), false)));
        arrived++;
      }
      for (int worker = 0; worker < WORKERS && !waiting.isEmpty(); worker++) {
        if (freeAtMs[worker] <= nowMs) {
          final long atMs = nowMs;
          Submission next =
              waiting.stream()
                  .min(Comparator.comparing(job -> order.apply(job, atMs)))
                  .orElseThrow();
          waiting.remove(next);
          freeAtMs[worker] = nowMs + RUN_TIME_MS;
          long latencyMs = freeAtMs[worker] - next.acceptedAtMs();
          boolean isNew = next.acceptedAtMs() >= outageEndMs;
          onTime += isNew && latencyMs <= objectiveMs(next) ? 1 : 0;
        }
      }
    }
    return onTime;
  }
}
