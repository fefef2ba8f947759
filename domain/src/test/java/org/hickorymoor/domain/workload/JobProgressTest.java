package org.hickorymoor.domain.workload;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class JobProgressTest {

  private final CrashTolerance tolerance = new CrashTolerance();

  private static final QueuePolicy POLICY = new QueuePolicy("q", "pool", 0, 2, 2, 100, null);

  static StepSpec step(int count, List<Integer> after, boolean gang, boolean longRunning) {
    return TestSteps.step(count, 300, after, gang, longRunning);
  }

  private static JobProgress job(StepSpec... steps) {
    JobProgress job =
        new JobProgress(
            new Submission("job", 0, POLICY, new WorkloadSpec("p", List.of(steps), 0, 0, 0)));
    job.startDueOccurrences(0);
    return job;
  }

  private static TaskProgress task(JobProgress job, int step, int index) {
    return job.steps(0).get(step).tasks().get(index);
  }

  private static void run(JobProgress job, int step, int index, TerminationReason reason) {
    TaskProgress task = task(job, step, index);
    task.place("w", task.run() + 1);
    job.recordRunEnd(task, reason, "");
  }

  @Test
  void stepIsReadyOnceAllTasksOfEarlierStepsHaveSucceeded() {
    JobProgress job = job(step(2, List.of(), false, false), step(1, List.of(0), false, false));

    run(job, 0, 0, TerminationReason.DONE);
    assertThat(job.readySteps()).containsExactly(job.steps(0).get(0));

    run(job, 0, 1, TerminationReason.DONE);
    assertThat(job.readySteps()).containsExactly(job.steps(0).get(1));

    run(job, 1, 0, TerminationReason.DONE);
    assertThat(job.state()).isEqualTo(WorkloadState.COMPLETED);
  }

  @Test
  void onlyFailedRunsCountAsAttempts() {
    JobProgress job = job(step(1, List.of(), false, false));
    for (TerminationReason reason :
        List.of(
            TerminationReason.STOPPED,
            TerminationReason.LAPSED,
            TerminationReason.BROKEN,
            TerminationReason.ALONE)) {
      run(job, 0, 0, reason);
      run(job, 0, 0, reason);
    }
    assertThat(job.state()).isEqualTo(WorkloadState.QUEUED);

    run(job, 0, 0, TerminationReason.FAILED);
    run(job, 0, 0, TerminationReason.FAILED);
    assertThat(job.state()).isEqualTo(WorkloadState.FAILED);
    assertThat(job.readySteps()).isEmpty();
  }

  @Test
  void jobFailsWhenWorkersCrashInRowUnderTask() {
    JobProgress job = job(step(1, List.of(), false, true));
    TaskProgress task = task(job, 0, 0);
    crash(job, task, 1, CrashEvidence.IMMEDIATE);
    assertThat(job.state()).isEqualTo(WorkloadState.QUEUED);
    crash(job, task, 2, CrashEvidence.DURING_STARTUP);
    assertThat(job.state()).isEqualTo(WorkloadState.FAILED);
  }

  // Guards against giving up tasks that happen to start on workers that crash by themselves.
  @Test
  void crashesDuringStartupWeighLessWhileWorkersCrashByThemselves() {
    tolerance.recordUnexplainedCrash(0);
    tolerance.recordUnexplainedCrash(0);
    assertThat(crashesUntilFailed(CrashEvidence.DURING_STARTUP)).isEqualTo(4);
    assertThat(crashesUntilFailed(CrashEvidence.IMMEDIATE)).isEqualTo(2);
  }

  // Guards against a task that crashes one worker after another before any can accept its start.
  @Test
  void unansweredStartsInRowFailTheJob() {
    assertThat(crashesUntilFailed(CrashEvidence.LIKELY)).isEqualTo(4);
  }

  private int crashesUntilFailed(CrashEvidence evidence) {
    JobProgress job = job(step(1, List.of(), false, false));
    int crashes = 0;
    while (job.state() != WorkloadState.FAILED) {
      crash(job, task(job, 0, 0), ++crashes, evidence);
    }
    return crashes;
  }

  // Guards against giving up a task because its starts were on their way to workers that had ended.
  @Test
  void unconfirmedCrashesNeitherFailTheJobNorCountAsConfirmedLater() {
    JobProgress job = job(step(1, List.of(), false, true));
    TaskProgress task = task(job, 0, 0);
    for (int crash = 1; crash <= 20; crash++) {
      crash(job, task, crash, CrashEvidence.UNCERTAIN);
    }
    assertThat(task.suspectedCrashes()).isEqualTo(20);

    crash(job, task, 21, CrashEvidence.DURING_STARTUP);
    assertThat(job.state()).isEqualTo(WorkloadState.QUEUED);
    crash(job, task, 22, CrashEvidence.DURING_STARTUP);
    assertThat(job.state()).isEqualTo(WorkloadState.FAILED);
  }

  // Guards against a crash without evidence that gives up a task over earlier, weaker evidence.
  @Test
  void unconfirmedCrashDoesNotFailTheJobAfterUnexplainedCrashesAreForgotten() {
    tolerance.recordUnexplainedCrash(0);
    tolerance.recordUnexplainedCrash(0);
    JobProgress job = job(step(1, List.of(), false, true));
    TaskProgress task = task(job, 0, 0);
    crash(job, task, 1, CrashEvidence.DURING_STARTUP);
    crash(job, task, 2, CrashEvidence.DURING_STARTUP);
    assertThat(job.state()).isEqualTo(WorkloadState.QUEUED);

    task.place("w", 3);
    long laterNs = TimeUnit.MINUTES.toNanos(1);
    job.recordWorkerCrash(task, 3, CrashEvidence.UNCERTAIN, tolerance, laterNs);

    assertThat(job.state()).isEqualTo(WorkloadState.QUEUED);
  }

  private void crash(JobProgress job, TaskProgress task, int run, CrashEvidence evidence) {
    task.place("w", run);
    job.recordWorkerCrash(task, run, evidence, tolerance, 0);
    job.recordRunEnd(task, TerminationReason.LAPSED, "");
  }

  // Guards against counting one run twice because its worker restarts again before it is started.
  @Test
  void runIsSuspectedOfOneCrash() {
    JobProgress job = job(step(1, List.of(), false, false));
    TaskProgress task = task(job, 0, 0);
    task.place("w", 1);
    job.recordWorkerCrash(task, 1, CrashEvidence.DURING_STARTUP, tolerance, 0);
    job.recordWorkerCrash(task, 1, CrashEvidence.DURING_STARTUP, tolerance, 0);

    assertThat(task.suspectedCrashes()).isEqualTo(1);
    assertThat(job.state()).isEqualTo(WorkloadState.QUEUED);
  }

  @Test
  void survivedStartClearsCrashesOfEarlierRunsForGood() {
    JobProgress job = job(step(1, List.of(), false, false));
    TaskProgress task = task(job, 0, 0);
    task.place("w", 5);
    job.recordWorkerCrash(task, 4, CrashEvidence.IMMEDIATE, tolerance, 0);
    assertThat(task.confirmedCrashes()).isEqualTo(1);

    task.recordSurvivedStart(5);
    job.recordWorkerCrash(task, 4, CrashEvidence.IMMEDIATE, tolerance, 0);

    assertThat(task.suspectedCrashes()).isEqualTo(0);
    assertThat(task.confirmedCrashes()).isEqualTo(0);
    assertThat(task.crashWeight()).isEqualTo(0);
  }

  @Test
  void longRunningTaskIsRestartedForEveryTerminationReason() {
    JobProgress job = job(step(1, List.of(), false, true));
    for (TerminationReason reason : TerminationReason.values()) {
      run(job, 0, 0, reason);
      run(job, 0, 0, reason);
      run(job, 0, 0, reason);
    }

    assertThat(job.state().isFinal()).isFalse();
    assertThat(job.readySteps()).hasSize(1);
  }

  @Test
  void gangSucceedsWithOneMemberAndCountsOneFailurePerRun() {
    JobProgress job = job(step(3, List.of(), true, false));
    StepProgress gang = job.steps(0).get(0);
    gang.tasks().forEach(task -> task.place("w", 1));
    gang.tasks().forEach(task -> job.recordRunEnd(task, TerminationReason.FAILED, ""));
    assertThat(gang.failedGangRuns()).isEqualTo(1);
    assertThat(job.state().isFinal()).isFalse();

    gang.tasks().forEach(task -> task.place("w", 2));
    job.recordRunEnd(gang.tasks().get(1), TerminationReason.DONE, "");
    assertThat(job.state()).isEqualTo(WorkloadState.COMPLETED);
  }

  @Test
  void gangIsNotReadyWhileMemberOfPreviousRunIsPlaced() {
    JobProgress job = job(step(2, List.of(), true, false));
    StepProgress gang = job.steps(0).get(0);
    gang.tasks().forEach(task -> task.place("w", 1));

    job.recordRunEnd(gang.tasks().get(0), TerminationReason.BROKEN, "");
    assertThat(job.readySteps()).isEmpty();

    job.recordRunEnd(gang.tasks().get(1), TerminationReason.FAILED, "");
    assertThat(job.readySteps()).containsExactly(gang);
  }

  @Test
  void checkpointIsKeptUntilNewerOneIsSaved() {
    JobProgress job = job(step(1, List.of(), false, false));
    TaskProgress task = task(job, 0, 0);
    task.place("w", 1);
    job.recordRunEnd(task, TerminationReason.STOPPED, "c1");
    task.place("w", 2);
    job.recordRunEnd(task, TerminationReason.LAPSED, "");

    assertThat(task.checkpoint()).isEqualTo("c1");
  }

  @Test
  void occurrencesStartWhenDue() {
    WorkloadSpec spec =
        new WorkloadSpec("p", List.of(step(1, List.of(), false, false)), 3, 1_000, 500);
    JobProgress job = new JobProgress(new Submission("job", 0, POLICY, spec));

    job.startDueOccurrences(999);
    assertThat(job.occurrences()).isEmpty();
    job.startDueOccurrences(1_500);
    assertThat(job.occurrences()).hasSize(2);
    job.startDueOccurrences(10_000);
    assertThat(job.occurrences()).hasSize(3);
  }

  // Guards against a single job that exhausts the memory of one coordinator after another.
  @Test
  void jobOfTooManyTasksIsRejected() {
    StepSpec step = step(2_000_000_000, List.of(), false, false);

    assertThrows(
        IllegalArgumentException.class, () -> new WorkloadSpec("p", List.of(step, step), 0, 0, 0));
  }

  // Guards against a schedule whose overdue occurrences all begin at once.
  @Test
  void overdueOccurrencesBeginOnlyAsEarlierOnesFinish() {
    WorkloadSpec spec =
        new WorkloadSpec(
            "p", List.of(step(1_000, List.of(), false, false)), Integer.MAX_VALUE, 0, 1);
    JobProgress job = new JobProgress(new Submission("job", 0, POLICY, spec));

    job.startDueOccurrences(Long.MAX_VALUE);
    assertThat(job.occurrences()).hasSize(4);

    job.steps(0).get(0).tasks().forEach(TaskProgress::markSucceeded);
    job.startDueOccurrences(Long.MAX_VALUE);
    assertThat(job.occurrences()).hasSize(5);
  }

  @Test
  void runNumberMustIncrease() {
    TaskProgress task = task(job(step(1, List.of(), false, false)), 0, 0);
    task.place("w", 5);
    task.clearPlacement();

    assertThrows(IllegalStateException.class, () -> task.place("w", 5));
  }

  @Property(tries = 300)
  void succeededTaskIsNeverReadyAgain(
      @ForAll @Size(max = 40) List<@IntRange(max = 11) Integer> reasons) {
    JobProgress job = job(step(2, List.of(), false, false), step(2, List.of(0), false, false));
    for (int choice : reasons) {
      TerminationReason reason =
          TerminationReason.values()[choice % TerminationReason.values().length];
      for (StepProgress ready : job.readySteps()) {
        TaskProgress task = ready.tasks().get(choice / 6);
        if (task.phase() != TaskProgress.Phase.IDLE) {
          continue;
        }
        task.place("w", task.run() + 1);
        job.recordRunEnd(task, reason, "");
        if (reason == TerminationReason.DONE) {
          assertThat(task.phase()).isEqualTo(TaskProgress.Phase.DONE);
        }
      }
      if (!job.steps(0).get(0).isDone()) {
        assertThat(task(job, 1, 0).run()).isEqualTo(0);
      }
    }
  }
}
