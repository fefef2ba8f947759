package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import org.hickorymoor.daemon.port.TaskWorkerPort.Outcome;
import org.hickorymoor.domain.workload.CrashEvidence;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.RunTimes;
import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.Urgency;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.junit.jupiter.api.Test;

/** Load pattern: workers of 16 cores are full of long runs, and wide tasks wait for them. */
final class WideTaskReservationsTest {

  private static final ShardSettings SETTINGS =
      new ShardSettings("h0", "d", "h0", 6_000, FakeWorkers.HEARTBEAT_MS, FakeWorkers.DRAIN_MS, 1);
  private static final QueuePolicy POLICY = new QueuePolicy("q", "pool", 1, 3, 1.5, 600, null);
  private static final int WIDE_CPU_MILLIS = 14_000;
  private static final long LONG_MS = 600_000;
  private static final int STEPS = 200;
  private static final int RUNS = 8;

  private final VirtualTime time = new VirtualTime(1);
  private final VirtualTime.HostEventLoop loop = time.new HostEventLoop();
  private final FakeStore store = new FakeStore(time);
  private final FakeWorkers workers = new FakeWorkers(time, store);
  private final Map<String, ScheduledJob> jobs = new HashMap<>();
  private int forecasts;
  private final RunTimes runTimes =
      (submission, step) -> {
        forecasts++;
        return RunTimes.DECLARED.expectedMs(submission, step);
      };
  private final WideTaskReservations reservations =
      new WideTaskReservations(loop, jobs::get, runTimes);

  private StepProgress step(String id, int count, int cpuMillis, long estimatedMs) {
    StepSpec spec =
        new StepSpec(
            count,
            cpuMillis,
            500,
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
            "",
            0,
            false,
            0);
    WorkloadSpec workload = new WorkloadSpec("p", List.of(spec), 0, 0, 0);
    JobProgress progress = new JobProgress(new Submission(id, 0, POLICY, workload));
    jobs.put(id, new ScheduledJob(progress, true));
    return progress.steps(0).get(0);
  }

  private WorkerSession fullWorker(String id, long estimatedMs) {
    workers.add(id);
    WorkerSession session =
        new WorkerSession(
            loop,
            workers.port("h0"),
            new IgnoringListener(),
            Objects.requireNonNull(FakeWorkers.decode(id, "ready".getBytes(UTF_8))),
            1,
            SETTINGS,
            new LeaseBounds(
                loop,
                new LedgerWriter(
                    loop,
                    store.port("h0"),
                    "writer",
                    1,
                    new ShardMetrics(new MetricRegistry()),
                    () -> {}),
                new HeartbeatHistory(loop, SETTINGS.leaseMs()),
                1));
    session.requestReport();
    time.advance(100);
    assertThat(session.isSchedulable()).isTrue();
    for (TaskProgress task : step("on-" + id, RUNS, 2_000, estimatedMs).tasks()) {
      task.place(id, 1);
      var unused = session.add(task);
    }
    return session;
  }

  private ReadyStep ready(String id) {
    ScheduledJob job = Objects.requireNonNull(jobs.get(id));
    return new ReadyStep(
        job, job.progress.steps(0).get(0), new Urgency(Urgency.Timeliness.ON_TIME, 1, 0));
  }

  private void unplaced(String id, WorkerSession... eligible) {
    ReadyStep next = ready(id);
    reservations.onUnplaced(next, next.step().tasks().get(0), List.of(eligible));
  }

  /**
   * Guards against a pass that forecasts the room on each worker for each waiting step, which holds
   * up the event loop of a weak host, and against a bound that leaves out the last of many steps.
   */
  @Test
  void fewForecastsAreMadeInOnePassAndAllStepsHaveTheirTurn() {
    final WorkerSession occupied = fullWorker("w0", LONG_MS);
    final WorkerSession soonFree = fullWorker("w1", 3_000);
    List<String> wide = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      wide.add("wide" + i);
      step("wide" + i, 1, WIDE_CPU_MILLIS, 500);
    }
    step("last", 1, WIDE_CPU_MILLIS, 500);
    step("other", 1, 1_000, 500);
    int mostForecasts = 0;
    boolean reserved = false;
    for (int pass = 0; pass < 400 && !reserved; pass++) {
      wide.forEach(id -> unplaced(id, occupied));
      time.advance(1);
      unplaced("last", soonFree);
      time.advance(9);
      forecasts = 0;
      reservations.beginPass();
      mostForecasts = Math.max(mostForecasts, forecasts);
      reserved = !reservations.permits(ready("other"), soonFree);
    }

    assertThat(mostForecasts).isAtLeast(RUNS);
    assertThat(mostForecasts).isAtMost(STEPS / 10 * RUNS);
    assertThat(reserved).isTrue();
  }

  /** The events of the workers change nothing here. */
  private static final class IgnoringListener implements WorkerSession.Listener {

    @Override
    public void onFenced(String workerId) {}

    @Override
    public void onRunStarted(Placement placement) {}

    @Override
    public void onRunNotStarted(Placement placement, Outcome outcome) {}

    @Override
    public void onRunEnded(Placement placement, TerminationReason how, String checkpoint) {}

    @Override
    public void onWorkerCrashed(boolean wasStartingRuns) {}

    @Override
    public void onCrashSuspected(Placement placement, CrashEvidence evidence) {}

    @Override
    public void onStartSurvived(Placement placement) {}

    @Override
    public void onRunLost(Placement placement, String reason, long silentMs) {}

    @Override
    public void runAfterStored(Runnable task) {
      task.run();
    }

    @Override
    public void onWorkerSchedulable() {}

    @Override
    public long coordinatorLeaseEndsNs() {
      return Long.MAX_VALUE / 2;
    }

    @Override
    public OptionalLong remainingMs(Placement placement, long elapsedMs) {
      return OptionalLong.empty();
    }
  }
}
