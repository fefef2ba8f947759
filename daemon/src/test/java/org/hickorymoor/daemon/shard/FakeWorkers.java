package org.hickorymoor.daemon.shard;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;
import org.hickorymoor.daemon.port.TaskWorkerPort;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.jspecify.annotations.Nullable;

/** Workers in memory that check what is promised: no task runs twice, or again after its end. */
final class FakeWorkers {

  /** Decides how a run ends. */
  @FunctionalInterface
  interface Outcomes {
    TerminationReason of(String task, int run, String worker);
  }

  /** Prints what workers do: {@code -Dshard.trace=true}. */
  private static final boolean TRACE = Boolean.getBoolean("shard.trace");

  private static final long LINK_MS = 3;
  private static final long MAX_LEASE_MS = 6_000;
  private static final int CPU_MILLIS = 16_000;
  private static final int MEMORY_MB = 64_000;

  private static final class Run {
    private final String task;
    private final int number;

    Run(String task, int number) {
      this.task = task;
      this.number = number;
    }
  }

  /** One worker. */
  final class Worker {
    private final String id;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<TaskWorkerPort.EndedRun> ended = new ArrayList<>();
    private final Map<String, Integer> closedRuns = new HashMap<>();
    private long born = 1;
    private long fence;
    private long untilMs;
    private long lastNumber;
    private long lapsedUpTo;
    private boolean up = true;
    private boolean cut;
    private double lateShare;
    private double dropShare;

    Worker(String id) {
      this.id = id;
    }

    /** Ends all that runs, without a report. */
    void crash() {
      up = false;
      running.keySet().forEach(task -> runningNow.remove(task));
      running.clear();
      ended.clear();
      closedRuns.clear();
      fence = 0;
      lastNumber = 0;
      lapsedUpTo = 0;
      untilMs = 0;
    }

    /** Comes back knowing nothing. */
    void restart() {
      up = true;
      born++;
    }

    /** Lets no call through, either way. */
    void cut(boolean on) {
      cut = on;
    }

    /** Carries out this share of the orders seconds later, and answers none of these. */
    void late(double share) {
      lateShare = share;
    }

    /** Loses this share of the answers. */
    void dropAnswers(double share) {
      dropShare = share;
    }

    private void end(Run run, TerminationReason how) {
      if (running.get(run.task) != run) {
        return;
      }
      running.remove(run.task);
      runningNow.remove(run.task);
      closedRuns.merge(run.task, run.number, Math::max);
      trace(id + " ends " + run.task + " run " + run.number + " " + how);
      ended.add(new TaskWorkerPort.EndedRun(++lastNumber, run.task, run.number, how, ""));
    }

    private void lease(long untilMsAsked) {
      untilMs = Math.max(untilMs, Math.min(untilMsAsked, time.nowMs() + MAX_LEASE_MS));
      time.after(Math.max(0, untilMs - time.nowMs()) + 1, this::expire);
    }

    private void expire() {
      if (time.nowMs() > untilMs) {
        lapsedUpTo = lastNumber;
        List.copyOf(running.values()).forEach(run -> end(run, TerminationReason.LAPSED));
      }
    }

    private TaskWorkerPort.WorkerReply start(
        TaskWorkerPort.StartRequest order, long until, long token) {
      if (checksFence && token < fence) {
        return reply(TaskWorkerPort.Outcome.FENCED);
      }
      fence = token;
      if (until <= time.nowMs()) {
        return reply(TaskWorkerPort.Outcome.LATE);
      }
      lease(until);
      Run there = running.get(order.task());
      if (there != null && there.number == order.run()) {
        return reply(TaskWorkerPort.Outcome.ACCEPTED);
      }
      if (closedRuns.getOrDefault(order.task(), 0) >= order.run()) {
        return reply(TaskWorkerPort.Outcome.STALE_RUN);
      }
      String elsewhere = runningNow.putIfAbsent(order.task(), id);
      if (elsewhere != null) {
        violations.add(order.task() + " starts on " + id + " and runs on " + elsewhere);
      }
      if (seenDone.contains(order.task())) {
        violations.add(order.task() + " starts again after its end was taken note of");
      }
      starts++;
      trace(id + " starts " + order.task() + " run " + order.run() + " fence " + token);
      Run run = new Run(order.task(), order.run());
      running.put(order.task(), run);
      long tookMs = durationMs.get();
      if (tookMs < Long.MAX_VALUE) {
        time.after(tookMs, () -> end(run, outcomes.of(order.task(), order.run(), id)));
      }
      return reply(TaskWorkerPort.Outcome.ACCEPTED);
    }

    private TaskWorkerPort.WorkerReply stop(String task, int number, long token) {
      if (checksFence && token < fence) {
        return reply(TaskWorkerPort.Outcome.FENCED);
      }
      fence = token;
      closedRuns.merge(task, number, Math::max);
      Run run = running.get(task);
      if (run != null && run.number <= number) {
        end(run, TerminationReason.STOPPED);
      }
      return reply(TaskWorkerPort.Outcome.ACCEPTED);
    }

    private TaskWorkerPort.Report hold(long until, long seen, long token) {
      if (checksFence && token < fence) {
        return new TaskWorkerPort.Report(
            TaskWorkerPort.Outcome.FENCED, time.nowMs(), born, List.of(), List.of(), false);
      }
      fence = token;
      if (until > 0) {
        lease(until);
      }
      for (TaskWorkerPort.EndedRun end : ended) {
        boolean noted = end.sequence() <= seen && end.sequence() > lapsedUpTo;
        if (noted && end.reason() == TerminationReason.DONE) {
          trace(id + " forgets " + end.task() + " run " + end.run() + " fence " + token);
          seenDone.add(end.task());
        }
      }
      ended.removeIf(end -> end.sequence() <= seen);
      return new TaskWorkerPort.Report(
          TaskWorkerPort.Outcome.ACCEPTED,
          time.nowMs(),
          born,
          running.values().stream()
              .map(run -> new TaskWorkerPort.ActiveRun(run.task, run.number, "", 100, -1))
              .toList(),
          List.copyOf(ended),
          true);
    }

    private TaskWorkerPort.WorkerReply reply(TaskWorkerPort.Outcome outcome) {
      return new TaskWorkerPort.WorkerReply(outcome, time.nowMs());
    }
  }

  private final VirtualTime time;
  private final FakeStore store;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, String> runningNow = new HashMap<>();
  private final Set<String> seenDone = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private Outcomes outcomes = (task, run, worker) -> TerminationReason.DONE;
  private Supplier<Long> durationMs = () -> 500L;
  private int starts;
  private boolean checksFence = true;

  FakeWorkers(VirtualTime time, FakeStore store) {
    this.time = time;
    this.store = store;
  }

  /** Makes workers obey any coordinator, to show that the checks notice it. */
  void obeyAnybody() {
    checksFence = false;
  }

  Worker add(String id) {
    Worker worker = new Worker(id);
    workers.put(id, worker);
    list(id, true);
    return worker;
  }

  Worker get(String id) {
    return java.util.Objects.requireNonNull(workers.get(id));
  }

  List<Worker> all() {
    return List.copyOf(workers.values());
  }

  void list(String id, boolean listed) {
    store.put(KeyedStream.WORKERS, id, listed ? "ready".getBytes(UTF_8) : new byte[0]);
  }

  void drain(String id) {
    store.put(KeyedStream.WORKERS, id, "draining".getBytes(UTF_8));
  }

  void outcomes(Outcomes how) {
    outcomes = how;
  }

  void durations(Supplier<Long> ms) {
    durationMs = ms;
  }

  private void trace(String what) {
    if (TRACE) {
      System.err.println("at " + time.nowMs() + ": " + what);
    }
  }

  List<String> violations() {
    return violations;
  }

  Set<String> running() {
    return runningNow.keySet();
  }

  /** Returns the worker of a task that runs, or null. */
  @Nullable String workerOf(String task) {
    return runningNow.get(task);
  }

  int starts() {
    return starts;
  }

  static @Nullable WorkerDescriptor decode(String id, byte[] value) {
    boolean draining = new String(value, UTF_8).equals("draining");
    return new WorkerDescriptor(
        id, id, "pool", "d", "r1-1", Set.of("a"), CPU_MILLIS, MEMORY_MB, 0, draining);
  }

  /** Returns the workers as hosts reach them. */
  TaskWorkerPort port() {
    return new Port();
  }

  private final class Port implements TaskWorkerPort {

    private <T> CompletableFuture<T> call(
        WorkerDescriptor facts, boolean order, long waitMs, long timeoutMs, Supplier<T> action) {
      Worker worker = get(facts.id());
      CompletableFuture<T> future = new CompletableFuture<>();
      time.after(
          timeoutMs,
          () ->
              future.completeExceptionally(
                  new PlatformException(Type.NO_RESPONSE, "no answer from " + facts.id())));
      time.after(
          LINK_MS,
          () -> {
            if (worker.cut || !worker.up) {
              return;
            }
            if (order && time.random().nextDouble() < worker.lateShare) {
              long receivedBy = worker.born;
              time.after(
                  2_000 + time.random().nextInt(8_000),
                  () -> {
                    // An order that waits inside a worker ends with it.
                    if (worker.born == receivedBy && worker.up) {
                      var unused = action.get();
                    }
                  });
              return;
            }
            T reply = action.get();
            boolean dropped = time.random().nextDouble() < worker.dropShare;
            long beginningEnds = worker.lastNumber;
            answer(worker, future, reply, action, waitMs, dropped, beginningEnds);
          });
      return future;
    }

    private <T> void answer(
        Worker worker,
        CompletableFuture<T> future,
        T reply,
        Supplier<T> action,
        long waitMs,
        boolean dropped,
        long endsBefore) {
      boolean waits =
          waitMs > 0
              && worker.lastNumber == endsBefore
              && worker.ended.isEmpty()
              && worker.up
              && !worker.cut;
      if (waits) {
        time.after(
            10,
            () -> answer(worker, future, action.get(), action, waitMs - 10, dropped, endsBefore));
        return;
      }
      time.after(
          LINK_MS,
          () -> {
            if (!worker.cut && worker.up && !dropped) {
              future.complete(reply);
            }
          });
    }

    @Override
    public CompletableFuture<WorkerReply> start(
        WorkerDescriptor worker, StartRequest order, long untilMs, long fence, long timeoutMs) {
      return call(worker, true, 0, timeoutMs, () -> get(worker.id()).start(order, untilMs, fence));
    }

    @Override
    public CompletableFuture<WorkerReply> stop(
        WorkerDescriptor worker, String task, int run, long fence, long timeoutMs) {
      return call(worker, true, 0, timeoutMs, () -> get(worker.id()).stop(task, run, fence));
    }

    @Override
    public CompletableFuture<WorkerReply> throttle(
        WorkerDescriptor worker, String task, int run, int percent, long fence, long timeoutMs) {
      return CompletableFuture.completedFuture(new WorkerReply(Outcome.ACCEPTED, time.nowMs()));
    }

    @Override
    public CompletableFuture<Report> renewLease(
        WorkerDescriptor worker,
        long untilMs,
        long seenUpTo,
        long fence,
        long waitMs,
        long timeoutMs) {
      return call(
          worker, false, waitMs, timeoutMs, () -> get(worker.id()).hold(untilMs, seenUpTo, fence));
    }
  }
}
