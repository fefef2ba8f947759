package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Set;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.domain.runtime.RunTimeSource;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class LearnedRunTimesTest {

  private static final long ESTIMATED_MS = 500;
  private static final long ACTUAL_MS = 2_000;

  private final VirtualTime time = new VirtualTime(5);
  private final FakeStore store = new FakeStore(time);
  private final VirtualTime.HostEventLoop loop = time.new HostEventLoop();
  private final MetricRegistry registry = new MetricRegistry();
  private final ShardMetrics metrics = new ShardMetrics(registry);
  private final LedgerWriter ledger =
      new LedgerWriter(loop, store.port("h0"), "coordinator", 1, metrics, () -> {});
  private final WorkerAllocation worker =
      new WorkerAllocation(
          new WorkerDescriptor(
              "w", "w", "pool", "d", "r1-1", Set.of("r1-1", "k"), 16_000, 64_000, 0, false, -1));
  private LearnedRunTimes runTimes =
      new LearnedRunTimes(loop, ledger, metrics, RunTimeSource.LEARNED);
  private RunObserver observer = new RunObserver(loop, runTimes);
  private int jobs;

  /** A start at time 0 counts as unknown. */
  @BeforeEach
  void leaveTimeZero() {
    time.advance(1_000);
  }

  private void restart(RunTimeSource source) {
    runTimes = new LearnedRunTimes(loop, ledger, metrics, source);
    observer = new RunObserver(loop, runTimes);
  }

  private ScheduledJob job(StepSpec step) {
    WorkloadSpec spec = new WorkloadSpec("payload", List.of(step), 0, 0, 0);
    Submission submission = new Submission("job" + jobs++, 0, SimulatedCell.POLICY, spec);
    return new ScheduledJob(new JobProgress(submission), true);
  }

  private static StepSpec step(int count, boolean gang, boolean bestEffort) {
    return new StepSpec(
        count,
        1_000,
        500,
        0,
        ESTIMATED_MS,
        List.of(),
        true,
        gang,
        false,
        null,
        null,
        0,
        false,
        false,
        "image",
        0,
        bestEffort,
        0);
  }

  private static StepSpec plainStep() {
    return step(1, false, false);
  }

  private Placement placed(ScheduledJob job, int index) {
    return placed(job, index, false);
  }

  private Placement placed(ScheduledJob job, int index, boolean adopted) {
    TaskProgress task = job.progress.steps(0).get(0).tasks().get(index);
    task.place("w", 1);
    return new Placement(task, 1, worker, adopted);
  }

  private void started(ScheduledJob job, Placement placement) {
    placement.startedNs = loop.nowNs();
    observer.onRunStarted(job, placement);
  }

  private Placement startedRun(ScheduledJob job) {
    Placement placement = placed(job, 0);
    started(job, placement);
    return placement;
  }

  private void finish(ScheduledJob job, long runMs) {
    Placement placement = startedRun(job);
    time.advance(runMs);
    observer.onRunEnded(job, placement, TerminationReason.DONE);
  }

  private void finishRuns(int runs) {
    for (int i = 0; i < runs; i++) {
      finish(job(plainStep()), ACTUAL_MS);
    }
  }

  private long expectedMs() {
    return runTimes.expectedMs(job(plainStep()).submission(), 0);
  }

  private long finishedRuns() {
    return registry.histogram("runtimes.error-learned").getCount();
  }

  // Guards against learned times that are used before they have proven better.
  @Test
  void estimateHoldsForTheFirstTasks() {
    finishRuns(19);

    assertThat(expectedMs()).isEqualTo(ESTIMATED_MS);
    finishRuns(1);
    time.advance(300);
    assertThat((double) expectedMs()).isWithin(200).of(ACTUAL_MS);
  }

  @Test
  void declaredRunTimesAreUsedWhereSet() {
    restart(RunTimeSource.DECLARED);
    finishRuns(40);
    ScheduledJob job = job(plainStep());

    assertThat(expectedMs()).isEqualTo(ESTIMATED_MS);
    assertThat(runTimes.remainingMs(job.submission(), placed(job, 0), 100)).hasValue(400);
    assertThat(finishedRuns()).isEqualTo(40);
  }

  // Guards against runs that say nothing of how long a task takes, and that are learned from.
  @Test
  void learnsNothingFromRunsThatSayNothing() {
    ScheduledJob bestEffort = job(step(1, false, true));
    finish(bestEffort, ACTUAL_MS);

    ScheduledJob resumed = job(plainStep());
    resumed.progress.steps(0).get(0).tasks().get(0).saveCheckpoint("checkpoint");
    finish(resumed, ACTUAL_MS);

    ScheduledJob adopted = job(plainStep());
    Placement adoptedRun = placed(adopted, 0, true);
    started(adopted, adoptedRun);
    observer.onRunEnded(adopted, adoptedRun, TerminationReason.DONE);

    ScheduledJob late = job(plainStep());
    Placement lateRun = startedRun(late);
    lateRun.endNoticedLate = true;
    observer.onRunEnded(late, lateRun, TerminationReason.DONE);

    ScheduledJob failed = job(plainStep());
    Placement failedRun = startedRun(failed);
    observer.onRunEnded(failed, failedRun, TerminationReason.FAILED);

    assertThat(finishedRuns()).isEqualTo(0);
    time.advance(100);
    assertThat(store.keys(KeyedStream.LEDGER)).doesNotContain("runtimes");
  }

  // Guards against checkpoints saved by a run that make it count as resumed.
  @Test
  void runThatHasSavedCheckpointsIsLearnedFrom() {
    ScheduledJob job = job(plainStep());
    Placement placement = startedRun(job);
    placement.task().saveCheckpoint("checkpoint");
    time.advance(ACTUAL_MS);
    observer.onRunEnded(job, placement, TerminationReason.DONE);

    assertThat(finishedRuns()).isEqualTo(1);
  }

  // Guards against the wait for the last member of a gang that counts as run time.
  @Test
  void gangRunsFromTheStartOfItsLastMember() {
    for (int i = 0; i < 30; i++) {
      ScheduledJob job = job(step(2, true, false));
      Placement first = placed(job, 0);
      final Placement second = placed(job, 1);
      started(job, first);
      time.advance(5_000);
      started(job, second);
      time.advance(ACTUAL_MS);
      observer.onRunEnded(job, first, TerminationReason.DONE);
      observer.onRunEnded(job, second, TerminationReason.DONE);
    }

    assertThat(finishedRuns()).isEqualTo(30);
    assertThat((double) expectedMs()).isWithin(200).of(ACTUAL_MS);
  }

  // Guards against runs lost to a silent worker that are ignored, and so make a queue look short.
  @Test
  void lostRunLastedUntilItsWorkerFellSilent() {
    finishRuns(40);
    time.advance(300);
    final long beforeMs = expectedMs();
    for (int i = 0; i < 40; i++) {
      ScheduledJob job = job(plainStep());
      Placement placement = startedRun(job);
      time.advance(20_000);
      observer.onRunLost(job, placement, 0);
      observer.onRunLost(job, placement, 19_900);
    }
    time.advance(300);
    assertThat(expectedMs()).isEqualTo(beforeMs);

    for (int i = 0; i < 40; i++) {
      ScheduledJob job = job(plainStep());
      Placement placement = startedRun(job);
      time.advance(20_000);
      observer.onRunLost(job, placement, 10_000);
    }
    time.advance(300);
    assertThat(expectedMs()).isGreaterThan(2 * beforeMs);
  }

  // Guards against an evacuation that counts on the median, which half of the runs exceed.
  @Test
  void remainingTimeIsThatOfNineInTenRuns() {
    finishRuns(20);
    ScheduledJob job = job(plainStep());
    long remainingMs = runTimes.remainingMs(job.submission(), placed(job, 0), 0).getAsLong();

    assertThat(remainingMs).isGreaterThan(runTimes.expectedMs(job.submission(), 0));
  }

  // Guards against workers that count as slow as callers estimate too little.
  @Test
  void workersAreComparedWithTheLearnedTime() {
    finishRuns(20);
    ScheduledJob job = job(plainStep());

    assertThat((double) runTimes.expectedRunMs(job.submission(), placed(job, 0)))
        .isWithin(200)
        .of(ACTUAL_MS);
  }

  // Guards against a record that is written for each run.
  @Test
  void recordIsStoredAtIntervals() {
    int before = store.appends();
    for (int i = 0; i < 1_000; i++) {
      finish(job(plainStep()), 20);
    }

    assertThat(store.keys(KeyedStream.LEDGER)).contains("runtimes");
    assertThat(store.appends() - before).isAtMost(5);
  }

  // Guards against the time for which a worker was cut off that counts as run time.
  @Test
  void runThatEndsWhileItsWorkerIsCutOffIsNotLearnedFrom() {
    SimulatedCell cell = new SimulatedCell(33, 1, 1);
    cell.workers.durations(() -> 1_000L);
    String host = cell.awaitCoordinator();
    cell.submit(host, "usual", SimulatedCell.step(1, List.of(), false));
    cell.awaitState(host, "usual", WorkloadState.COMPLETED, 10_000);
    Histogram errors = cell.registry(host).histogram("runtimes.error-learned");
    assertThat(errors.getCount()).isEqualTo(1);

    cell.submit(host, "job", SimulatedCell.step(1, List.of(), false));
    FakeWorkers.Worker cutOff = cell.awaitRun("job.0.0.0");
    cell.time.advance(100);
    cutOff.setDisconnected(true);
    cell.time.advance(3_000);
    cutOff.setDisconnected(false);

    assertThat(cell.awaitState(host, "job", WorkloadState.COMPLETED, 10_000)).isTrue();
    assertThat(errors.getCount()).isEqualTo(1);
  }

  // Guards against what was learned being lost with the coordinator, and with it the order of jobs.
  @Test
  void successorUsesWhatWasLearned() {
    SimulatedCell cell = new SimulatedCell(31, 3, 3);
    cell.workers.durations(() -> ACTUAL_MS);
    String first = cell.awaitCoordinator();
    for (int i = 0; i < 3; i++) {
      cell.submit(first, "job" + i, SimulatedCell.step(20, List.of(), false));
      cell.awaitState(first, "job" + i, WorkloadState.COMPLETED, 20_000);
      cell.time.advance(5_000);
    }
    cell.kill(first);
    cell.time.advanceUntil(10_000, () -> cell.coordinator() != null);
    String second = cell.awaitCoordinator();

    assertThat(second).isNotEqualTo(first);
    assertThat(cell.registry(second).getGauges().get("runtimes.queues-learned").getValue())
        .isEqualTo(1);
    cell.submit(second, "next", SimulatedCell.step(4, List.of(), false));
    assertThat(cell.awaitState(second, "next", WorkloadState.COMPLETED, 20_000)).isTrue();
  }

  // Guards against a takeover that fails at a damaged record.
  @Test
  void malformedRecordIsIgnored() {
    runTimes.restore(new byte[] {1, 2, 3});
    runTimes.restore(new byte[0]);
    finishRuns(20);
    time.advance(300);

    assertThat((double) expectedMs()).isWithin(200).of(ACTUAL_MS);
  }
}
