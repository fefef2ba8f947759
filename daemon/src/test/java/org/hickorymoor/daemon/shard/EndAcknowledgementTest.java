package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hickorymoor.daemon.shard.SimulatedCell.POLICY;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.TaskWorkerPort;
import org.hickorymoor.domain.workload.CrashEvidence;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Acknowledgements of ended runs to a worker that may have restarted unnoticed. */
final class EndAcknowledgementTest {

  private static final ShardSettings SETTINGS =
      new ShardSettings("h0", "d", "h0", 6_000, FakeWorkers.HEARTBEAT_MS, FakeWorkers.DRAIN_MS, 1);
  private static final long RUN_MS = 100;
  private static final String PAYLOAD = "payload";

  private final VirtualTime time = new VirtualTime(1);
  private final VirtualTime.HostEventLoop loop = time.new HostEventLoop();
  private final FakeStore store = new FakeStore(time);
  private final FakeWorkers workers = new FakeWorkers(time, store);
  private final FakeWorkers.Worker worker = workers.add("w0");
  private final RecordingPort port = new RecordingPort(workers.port("h0"));
  private final RecordingListener listener = new RecordingListener();
  private final WorkerSession session =
      new WorkerSession(
          loop,
          port,
          listener,
          Objects.requireNonNull(FakeWorkers.decode("w0", "ready".getBytes(UTF_8))),
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
  private final List<TaskProgress> tasks =
      new JobProgress(
              new Submission(
                  "job",
                  0,
                  POLICY,
                  new WorkloadSpec(PAYLOAD, List.of(step(8, List.of(), false)), 0, 0, 0)))
          .steps(0)
          .get(0)
          .tasks();

  /** Acknowledges the end of task 1 beside task 0, which goes on, and lets task 2 end. */
  @BeforeEach
  void endOneRunAcknowledgedAndOneNotStored() {
    time.advance(5_000);
    session.requestReport();
    time.advance(100);
    workers.durations(() -> Long.MAX_VALUE);
    start(0);
    time.advance(20);
    workers.durations(() -> RUN_MS);
    start(1);
    time.advance(RUN_MS + 50);
    listener.completeStore();
    time.advance(50);
    start(2);
    time.advance(RUN_MS + 50);
    assertThat(listener.ended).containsExactly(name(1), name(2)).inOrder();
  }

  private void start(int task) {
    tasks.get(task).place("w0", 1);
    session.start(session.add(tasks.get(task)), PAYLOAD, null);
  }

  private String name(int task) {
    return tasks.get(task).id().toString();
  }

  private void restartWorker() {
    worker.crash();
    worker.restart();
  }

  // Guards against repeating an acknowledgement to a worker that has restarted since: it would
  // forget an end that was never reported, and the task would run twice.
  @Test
  void renewalsWhileEndsAreStoredDoNotRepeatTheAcknowledgement() {
    restartWorker();
    start(3);
    time.advance(2_000);

    assertThat(listener.ended).contains(name(3));
    assertThat(listener.lost).containsExactly(name(0));
  }

  // Guards against acknowledging ends of an earlier incarnation to one that has accepted a start.
  @Test
  void storedEndsAreNotAcknowledgedToAnotherIncarnation() {
    restartWorker();
    start(3);
    time.advance(RUN_MS + 50);
    listener.completeStore();
    time.advance(500);

    assertThat(listener.ended).contains(name(3));
    assertThat(listener.lost).containsExactly(name(0));
  }

  // Guards against the same if the response to the start request is lost.
  @Test
  void storedEndsAreNotAcknowledgedWhileStartIsUnanswered() {
    restartWorker();
    worker.dropAnswers(1);
    start(3);
    time.advance(RUN_MS + 50);
    worker.dropAnswers(0);
    listener.completeStore();
    time.advance(1_000);

    assertThat(listener.ended).contains(name(3));
    assertThat(listener.lost).containsExactly(name(0));
  }

  // Guards against a report more for each end on a busy worker.
  @Test
  void acknowledgementBesideAnsweredStartTakesNoExtraReport() {
    workers.durations(() -> Long.MAX_VALUE);
    start(3);
    time.advance(20);
    port.acknowledged.clear();
    listener.completeStore();
    time.advance(500);

    assertThat(port.acknowledged).containsExactly(2L);
  }

  // Guards against an acknowledgement that waits for good while starts follow each other.
  @Test
  void endsAreAcknowledgedThoughStartsFollowEachOther() {
    workers.durations(() -> Long.MAX_VALUE);
    port.acknowledged.clear();
    listener.completeStore();
    for (int task = 3; task < 8; task++) {
      start(task);
      time.advance(4);
    }
    time.advance(200);

    assertThat(port.acknowledged).contains(2L);
  }

  /** Records the acknowledgements that are sent. */
  private static final class RecordingPort implements TaskWorkerPort {
    private final TaskWorkerPort delegate;
    private final List<Long> acknowledged = new ArrayList<>();

    RecordingPort(TaskWorkerPort delegate) {
      this.delegate = delegate;
    }

    @Override
    public CompletableFuture<WorkerReply> start(
        WorkerDescriptor worker,
        StartRequest request,
        long leaseEndMs,
        long fencingToken,
        long timeoutMs) {
      return delegate.start(worker, request, leaseEndMs, fencingToken, timeoutMs);
    }

    @Override
    public CompletableFuture<WorkerReply> stop(
        WorkerDescriptor worker, String task, int run, long fencingToken, long timeoutMs) {
      return delegate.stop(worker, task, run, fencingToken, timeoutMs);
    }

    @Override
    public CompletableFuture<WorkerReply> throttle(
        WorkerDescriptor worker,
        String task,
        int run,
        int percent,
        long fencingToken,
        long timeoutMs) {
      return delegate.throttle(worker, task, run, percent, fencingToken, timeoutMs);
    }

    @Override
    public CompletableFuture<Report> renewLease(
        WorkerDescriptor worker,
        long leaseEndMs,
        long acknowledgedUpTo,
        long fencingToken,
        long waitMs,
        long timeoutMs) {
      acknowledged.add(acknowledgedUpTo);
      return delegate.renewLease(
          worker, leaseEndMs, acknowledgedUpTo, fencingToken, waitMs, timeoutMs);
    }
  }

  /** Records the ends of runs, and stores them when the test says so. */
  private final class RecordingListener implements WorkerSession.Listener {
    private final List<String> ended = new ArrayList<>();
    private final List<String> lost = new ArrayList<>();
    private final List<Runnable> unstored = new ArrayList<>();

    void completeStore() {
      List<Runnable> stored = List.copyOf(unstored);
      unstored.clear();
      stored.forEach(Runnable::run);
    }

    @Override
    public void onFenced(String workerId) {}

    @Override
    public void onRunStarted(Placement placement) {}

    @Override
    public void onRunNotStarted(Placement placement, TaskWorkerPort.Outcome outcome) {}

    @Override
    public void onRunEnded(Placement placement, TerminationReason how, String checkpoint) {
      ended.add(placement.task().id().toString());
    }

    @Override
    public void onWorkerCrashed(boolean wasStartingRuns) {}

    @Override
    public void onCrashSuspected(Placement placement, CrashEvidence evidence) {}

    @Override
    public void onStartSurvived(Placement placement) {}

    @Override
    public void onRunLost(Placement placement, String reason, long silentMs) {
      lost.add(placement.task().id().toString());
    }

    @Override
    public void runAfterStored(Runnable task) {
      unstored.add(task);
    }

    @Override
    public void onWorkerSchedulable() {}

    @Override
    public OptionalLong remainingMs(Placement placement, long elapsedMs) {
      return OptionalLong.empty();
    }

    @Override
    public long coordinatorLeaseEndsNs() {
      return Long.MAX_VALUE;
    }
  }
}
