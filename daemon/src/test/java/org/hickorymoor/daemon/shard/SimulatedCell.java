package org.hickorymoor.daemon.shard;

import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerException;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.daemon.port.ApprovalPort;
import org.hickorymoor.domain.customer.CustomerDirectory;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.hickorymoor.domain.workload.WorkloadState;
import org.jspecify.annotations.Nullable;

/** A cell of hosts with a fake store and fake workers in virtual time. */
final class SimulatedCell {

  static final QueuePolicy POLICY = new QueuePolicy("queue", "pool", 0, 3, 1.5, 600, null);

  private static final long LINK_LATENCY_MS = 2;
  private static final long AWAIT_TIMEOUT_MS = 20_000;

  private static final class Host {
    private final VirtualTime.HostEventLoop loop;
    private final Shard shard;
    private final MetricRegistry registry;

    Host(VirtualTime.HostEventLoop loop, Shard shard, MetricRegistry registry) {
      this.loop = loop;
      this.shard = shard;
      this.registry = registry;
    }
  }

  final VirtualTime time;
  final FakeStore store;
  final FakeWorkers workers;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private int relayedSubmissions;

  /** Customers of the configuration that all hosts have; null before the first configuration. */
  @Nullable CustomerDirectory customers = CustomerDirectory.EMPTY;

  /** Decides which workers may run a step; never answers by default. */
  ApprovalPort approvals = (step, ids, withinMs) -> new CompletableFuture<>();

  SimulatedCell(long seed, int hostCount, int workerCount) {
    time = new VirtualTime(seed);
    store = new FakeStore(time);
    workers = new FakeWorkers(time, store);
    for (int i = 0; i < workerCount; i++) {
      workers.add("w" + i);
    }
    for (int i = 0; i < hostCount; i++) {
      startHost("h" + i);
    }
  }

  /** Starts a host without any local state. */
  void startHost(String name) {
    startHost(name, 1);
  }

  /** Starts a host of some processor capacity, in cores. */
  void startHost(String name, double processors) {
    VirtualTime.HostEventLoop loop = time.new HostEventLoop();
    ShardSettings settings =
        new ShardSettings(
            name, "d", name, 6_000, FakeWorkers.HEARTBEAT_MS, FakeWorkers.DRAIN_MS, processors);
    MetricRegistry registry = new MetricRegistry();
    ApprovalPort advice = (step, ids, withinMs) -> approvals.requestApprovals(step, ids, withinMs);
    Shard shard =
        new Shard(
            settings,
            store.port(name),
            workers.port(name),
            advice,
            FakeWorkers::decode,
            (address, request, timeoutMs) -> call(address, request, timeoutMs),
            loop,
            new ShardMetrics(registry),
            () -> customers);
    hosts.put(name, new Host(loop, shard, registry));
    shard.start();
  }

  private CompletableFuture<PeerReply> call(String address, PeerRequest request, long timeoutMs) {
    CompletableFuture<PeerReply> future = new CompletableFuture<>();
    if (request instanceof PeerRequest.RelaySubmission) {
      relayedSubmissions++;
    }
    time.after(
        timeoutMs,
        () -> future.completeExceptionally(new IllegalStateException("no answer from " + address)));
    time.after(
        LINK_LATENCY_MS,
        () -> {
          Host host = hosts.get(address);
          if (host == null || host.loop.isDead()) {
            time.after(
                LINK_LATENCY_MS,
                () ->
                    future.completeExceptionally(
                        new PeerException(PeerException.Type.UNREACHABLE, address + " refuses")));
          } else {
            host.shard
                .handle(request)
                .thenAccept(reply -> time.after(LINK_LATENCY_MS, () -> future.complete(reply)));
          }
        });
    return future;
  }

  /** Returns the number of submissions that hosts have sent to peers to append. */
  int relayedSubmissions() {
    return relayedSubmissions;
  }

  void kill(String name) {
    host(name).loop.kill();
  }

  void freeze(String name, long forMs) {
    host(name).loop.freeze(forMs);
  }

  void suspend(String name, long forMs) {
    host(name).loop.suspend(forMs);
  }

  void slow(String name, long delayMs) {
    host(name).loop.slow(delayMs);
  }

  boolean isDead(String name) {
    return host(name).loop.isDead();
  }

  /** Returns the metrics of a host. */
  MetricRegistry registry(String name) {
    return host(name).registry;
  }

  Shard shard(String name) {
    return host(name).shard;
  }

  private Host host(String name) {
    return Objects.requireNonNull(hosts.get(name));
  }

  List<String> hostNames() {
    return List.copyOf(hosts.keySet());
  }

  /** Returns a host that is the coordinator and has completed its takeover, or null. */
  @Nullable String coordinator() {
    for (Map.Entry<String, Host> entry : hosts.entrySet()) {
      if (!entry.getValue().loop.isDead() && entry.getValue().shard.isReadyCoordinator()) {
        return entry.getKey();
      }
    }
    return null;
  }

  /** Advances time until a host is the coordinator and has completed its takeover. */
  String awaitCoordinator() {
    time.advanceUntil(AWAIT_TIMEOUT_MS, () -> coordinator() != null);
    return Objects.requireNonNull(coordinator(), "no coordinator in time");
  }

  /** Advances time until a task runs, and returns the worker that it runs on. */
  FakeWorkers.Worker awaitRun(String task) {
    time.advanceUntil(AWAIT_TIMEOUT_MS, () -> workers.workerOf(task) != null);
    return workerRunning(task);
  }

  /** Returns the worker that a task runs on now. */
  FakeWorkers.Worker workerRunning(String task) {
    return workers.get(Objects.requireNonNull(workers.workerOf(task), task + " doesn't run"));
  }

  static StepSpec step(int count, List<Integer> after, boolean longRunning) {
    return new StepSpec(
        count,
        1_000,
        500,
        0,
        500,
        after,
        false,
        false,
        false,
        null,
        null,
        0,
        false,
        longRunning,
        "",
        0,
        false,
        0);
  }

  /** Submits a job through a host. */
  CompletableFuture<Shard.StoreResult> submit(String host, String jobId, StepSpec... steps) {
    return submit(host, jobId, null, steps);
  }

  /** Submits a job of a customer through a host. */
  CompletableFuture<Shard.StoreResult> submit(
      String host, String jobId, @Nullable CustomerPolicy customer, StepSpec... steps) {
    WorkloadSpec spec = new WorkloadSpec("payload", List.of(steps), 0, 0, 0);
    long acceptedAtMs = host(host).loop.nowMs();
    return shard(host).submit(new Submission(jobId, acceptedAtMs, POLICY, spec, customer), 2_800);
  }

  /** Queries the state of a job through a host and advances time until it answers. */
  Shard.JobQueryResult ask(String host, String jobId) {
    CompletableFuture<Shard.JobQueryResult> answer = shard(host).state(jobId, 2_800);
    time.advanceUntil(4_000, answer::isDone);
    return answer.join();
  }

  boolean awaitState(String host, String jobId, WorkloadState state, long timeoutMs) {
    long endMs = time.nowMs() + timeoutMs;
    while (time.nowMs() < endMs) {
      if (ask(host, jobId).state() == state) {
        return true;
      }
      time.advance(100);
    }
    return false;
  }
}
