package org.hickorymoor.domain.workload;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class JobProgressTest {

  private static final QueuePolicy POLICY = new QueuePolicy("q", "pool", 0, 2, 2, 100, null);

  static StepSpec step(int count, List<Integer> after, boolean gang, boolean longRunning) {
    return TestSteps.step(count, 300, after, gang, longRunning);
  }

  private static JobProgress job(StepSpec... steps) {
    JobProgress job =
        new JobProgress(
            new Submission("job", 0, POLICY, new WorkloadSpec("p", List.of(steps), 0, 0, 0)));
    job.beginDue(0);
    return job;
  }

  private static TaskSlot slot(JobProgress job, int step, int index) {
    return job.steps(0).get(step).slots().get(index);
  }

  private static void run(JobProgress job, int step, int index, EndKind how) {
    TaskSlot slot = slot(job, step, index);
    slot.place("w", slot.run() + 1);
    job.end(slot, how, "");
  }

  @Test
  void stepIsReadyOnceAllTasksOfEarlierStepsHaveSucceeded() {
    JobProgress job = job(step(2, List.of(), false, false), step(1, List.of(0), false, false));

    run(job, 0, 0, EndKind.DONE);
    assertThat(job.readySteps()).containsExactly(job.steps(0).get(0));

    run(job, 0, 1, EndKind.DONE);
    assertThat(job.readySteps()).containsExactly(job.steps(0).get(1));

    run(job, 1, 0, EndKind.DONE);
    assertThat(job.state()).isEqualTo(WorkloadState.COMPLETED);
  }

  @Test
  void onlyFailedRunsUseUpAttempts() {
    JobProgress job = job(step(1, List.of(), false, false));
    for (EndKind how : List.of(EndKind.STOPPED, EndKind.LAPSED, EndKind.BROKEN, EndKind.ALONE)) {
      run(job, 0, 0, how);
      run(job, 0, 0, how);
    }
    assertThat(job.state()).isEqualTo(WorkloadState.QUEUED);

    run(job, 0, 0, EndKind.FAILED);
    run(job, 0, 0, EndKind.FAILED);
    assertThat(job.state()).isEqualTo(WorkloadState.FAILED);
    assertThat(job.readySteps()).isEmpty();
  }

  @Test
  void longRunningTaskStartsAgainHoweverItEnds() {
    JobProgress job = job(step(1, List.of(), false, true));
    for (EndKind how : EndKind.values()) {
      run(job, 0, 0, how);
      run(job, 0, 0, how);
      run(job, 0, 0, how);
    }

    assertThat(job.state().isFinal()).isFalse();
    assertThat(job.readySteps()).hasSize(1);
  }

  @Test
  void gangSucceedsWithOneMemberAndFailsOncePerRun() {
    JobProgress job = job(step(3, List.of(), true, false));
    StepProgress gang = job.steps(0).get(0);
    gang.slots().forEach(slot -> slot.place("w", 1));
    gang.slots().forEach(slot -> job.end(slot, EndKind.FAILED, ""));
    assertThat(gang.failedGangRuns()).isEqualTo(1);
    assertThat(job.state().isFinal()).isFalse();

    gang.slots().forEach(slot -> slot.place("w", 2));
    job.end(gang.slots().get(1), EndKind.DONE, "");
    assertThat(job.state()).isEqualTo(WorkloadState.COMPLETED);
  }

  @Test
  void gangIsNotReadyWhileMemberOfFormerRunIsLeft() {
    JobProgress job = job(step(2, List.of(), true, false));
    StepProgress gang = job.steps(0).get(0);
    gang.slots().forEach(slot -> slot.place("w", 1));

    job.end(gang.slots().get(0), EndKind.BROKEN, "");
    assertThat(job.readySteps()).isEmpty();

    job.end(gang.slots().get(1), EndKind.FAILED, "");
    assertThat(job.readySteps()).containsExactly(gang);
  }

  @Test
  void checkpointIsKeptUntilNewerOneComes() {
    JobProgress job = job(step(1, List.of(), false, false));
    TaskSlot slot = slot(job, 0, 0);
    slot.place("w", 1);
    job.end(slot, EndKind.STOPPED, "c1");
    slot.place("w", 2);
    job.end(slot, EndKind.LAPSED, "");

    assertThat(slot.checkpoint()).isEqualTo("c1");
  }

  @Test
  void occurrencesBeginWhenDue() {
    WorkloadSpec spec =
        new WorkloadSpec("p", List.of(step(1, List.of(), false, false)), 3, 1_000, 500);
    JobProgress job = new JobProgress(new Submission("job", 0, POLICY, spec));

    job.beginDue(999);
    assertThat(job.occurrences()).isEmpty();
    job.beginDue(1_500);
    assertThat(job.occurrences()).hasSize(2);
    job.beginDue(10_000);
    assertThat(job.occurrences()).hasSize(3);
  }

  @Test
  void runNumbersOnlyRise() {
    TaskSlot slot = slot(job(step(1, List.of(), false, false)), 0, 0);
    slot.place("w", 5);
    slot.unplace();

    assertThrows(IllegalStateException.class, () -> slot.place("w", 5));
  }

  @Property(tries = 300)
  void taskThatSucceededIsNeverReadyAgain(
      @ForAll @Size(max = 40) List<@IntRange(max = 11) Integer> ends) {
    JobProgress job = job(step(2, List.of(), false, false), step(2, List.of(0), false, false));
    for (int choice : ends) {
      EndKind how = EndKind.values()[choice % EndKind.values().length];
      for (StepProgress ready : job.readySteps()) {
        TaskSlot slot = ready.slots().get(choice / 6);
        if (slot.phase() != TaskSlot.Phase.IDLE) {
          continue;
        }
        slot.place("w", slot.run() + 1);
        job.end(slot, how, "");
        if (how == EndKind.DONE) {
          assertThat(slot.phase()).isEqualTo(TaskSlot.Phase.DONE);
        }
      }
      if (!job.steps(0).get(0).isDone()) {
        assertThat(slot(job, 1, 0).run()).isEqualTo(0);
      }
    }
  }
}
