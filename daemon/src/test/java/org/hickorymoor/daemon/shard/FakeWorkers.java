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
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;
import org.hickorymoor.daemon.port.TaskWorkerPort;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.jspecify.annotations.Nullable;

/**
 * In-memory workers that check the guarantees of the scheduler: no task runs twice at a time, and
 * none is started again after its success was acknowledged.
 */
final class FakeWorkers {

  /** Decides how a run ends. */
  @FunctionalInterface
  interface Outcomes {
    TerminationReason of(String task, int run, String worker);
  }

  /** Prints the events of workers: {@code -Dshard.trace=true}. */
  private static final boolean TRACE = Boolean.getBoolean("shard.trace");

  private static final long LINK_LATENCY_MS = 3;
  private static final long MAX_LEASE_MS = 6_000;

  /** Interval at which a worker writes its entry in the list. */
  static final long HEARTBEAT_MS = 1_500;

  /** How long a worker goes on running at least after it has begun to drain. */
  static final long DRAIN_MS = 3_000;

  /** How long the entry of a worker that has crashed stays in the list. */
  private static final long ENTRY_TTL_MS = 5_000;

  private static final int CPU_MILLIS = 16_000;
  private static final int MEMORY_MB = 64_000;

  private static final class Run {
    private final String task;
    private final int number;
    private int percent = 100;

    Run(String task, int number) {
      this.task = task;
      this.number = number;
    }
  }

  /** A worker that can crash, lose its connection, delay starts and stops, and drop answers. */
  final class Worker {
    private final String id;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<TaskWorkerPort.EndedRun> ended = new ArrayList<>();
    private final Map<String, Integer> closedRuns = new HashMap<>();
    private long incarnation = 1;
    private long startedMs;
    private long fencingToken;
    private long untilMs;
    private long lastNumber;
    private long lapsedUpTo;
    private boolean up = true;
    private boolean left;
    private boolean closed;
    private boolean replaced;
    private boolean disconnected;
    private boolean unhealthy;
    private boolean resetsConnections;
    private final List<Runnable> unanswered = new ArrayList<>();
    private boolean hung;
    private final Set<String> blockedHosts = new HashSet<>();
    private double delayedRequestShare;
    private double droppedAnswerShare;

    Worker(String id) {
      this.id = id;
    }

    String id() {
      return id;
    }

    /** Ends all runs without reporting their ends. */
    void crash() {
      up = false;
      hung = false;
      running.keySet().forEach(task -> workersByRunningTask.remove(task));
      running.clear();
      ended.clear();
      closedRuns.clear();
      fencingToken = 0;
      lastNumber = 0;
      lapsedUpTo = 0;
      untilMs = 0;
    }

    /** Returns whether the worker has not crashed since its last start. */
    boolean isUp() {
      return up;
    }

    /** Restarts with no state. */
    void restart() {
      up = true;
      incarnation++;
      startedMs = time.nowMs();
      List<Runnable> cutOff = List.copyOf(unanswered);
      unanswered.clear();
      cutOff.forEach(call -> time.after(LINK_LATENCY_MS, call));
    }

    /** Ends the process: its runs end and its address refuses connections. */
    void leave() {
      crash();
      left = true;
    }

    /** Ends the process: open calls are cut off and later ones are not answered. */
    void leaveSilently() {
      crash();
      closed = true;
    }

    /** Ends the process; it restarts with no state after some seconds. */
    void crashAndRestart() {
      if (!up) {
        return;
      }
      crashes++;
      crash();
      left = true;
      closed = true;
      if (renamesRestarted && restartDelayMs > ENTRY_TTL_MS) {
        time.after(ENTRY_TTL_MS, () -> list(id, false));
      }
      time.after(
          restartDelayMs,
          () -> {
            left = false;
            closed = false;
            restart();
            if (renamesRestarted) {
              replaced = true;
              add(id + "'");
              list(id, false);
            }
          });
    }

    /** Cuts off open calls and refuses new ones; the runs go on. */
    void setRefusing(boolean on) {
      left = on;
      closed = on;
    }

    /** Blocks all calls in both directions. */
    void setDisconnected(boolean on) {
      disconnected = on;
    }

    /** Makes the worker reject all calls as unhealthy; its runs go on. */
    void setUnhealthy(boolean on) {
      unhealthy = on;
    }

    /** Makes the network reset each connection, so that no call reaches the worker. */
    void resetConnections(boolean on) {
      resetsConnections = on;
    }

    /** Blocks the calls of one host. */
    void block(String host) {
      blockedHosts.add(host);
    }

    /** Lets the calls of one host through again. */
    void unblock(String host) {
      blockedHosts.remove(host);
    }

    /** Sets the share of starts and stops that are carried out seconds later and not answered. */
    void delayStartsAndStops(double share) {
      delayedRequestShare = share;
    }

    /** Sets the share of answers that are lost. */
    void dropAnswers(double share) {
      droppedAnswerShare = share;
    }

    /** Returns the worker's clock, which begins anew when it restarts. */
    private long clockMs() {
      return time.nowMs() - startedMs;
    }

    private void end(Run run, TerminationReason how) {
      if (running.get(run.task) != run) {
        return;
      }
      running.remove(run.task);
      workersByRunningTask.remove(run.task);
      closedRuns.merge(run.task, run.number, Math::max);
      trace(id + " ends " + run.task + " run " + run.number + " " + how);
      ended.add(new TaskWorkerPort.EndedRun(++lastNumber, run.task, run.number, how, ""));
    }

    private void lease(long untilMsAsked) {
      untilMs = Math.max(untilMs, Math.min(untilMsAsked, clockMs() + MAX_LEASE_MS));
      time.after(Math.max(0, untilMs - clockMs()) + 1, this::expire);
    }

    private void expire() {
      if (clockMs() > untilMs) {
        lapsedUpTo = lastNumber;
        List.copyOf(running.values()).forEach(run -> end(run, TerminationReason.LAPSED));
      }
    }

    private TaskWorkerPort.WorkerReply start(
        TaskWorkerPort.StartRequest request, long until, long token) {
      if (checkFencingToken && token < fencingToken) {
        return reply(TaskWorkerPort.Outcome.FENCED);
      }
      fencingToken = token;
      if (until <= clockMs()) {
        return reply(TaskWorkerPort.Outcome.LATE);
      }
      lease(until);
      if (!acceptsTicket.test(request)) {
        rejectedTickets++;
        return reply(TaskWorkerPort.Outcome.BAD_TICKET);
      }
      Run sameTaskRun = running.get(request.task());
      if (sameTaskRun != null && sameTaskRun.number == request.run()) {
        return reply(TaskWorkerPort.Outcome.ACCEPTED);
      }
      if (closedRuns.getOrDefault(request.task(), 0) >= request.run()) {
        return reply(TaskWorkerPort.Outcome.STALE_RUN);
      }
      String otherWorker = workersByRunningTask.putIfAbsent(request.task(), id);
      if (otherWorker != null) {
        violations.add(request.task() + " starts on " + id + " and runs on " + otherWorker);
      }
      if (acknowledgedTasks.contains(request.task())) {
        violations.add(request.task() + " starts again after its success was acknowledged");
      }
      starts++;
      trace(id + " starts " + request.task() + " run " + request.run() + " fence " + token);
      Run run = new Run(request.task(), request.run());
      running.put(request.task(), run);
      startsByTask.merge(request.task(), 1, Integer::sum);
      if (crashesWorker.test(request.task())) {
        hung = hangsBeforeCrash;
        time.after(crashDelayMs, this::crashAndRestart);
      }
      long tookMs = durationMs.get();
      if (tookMs < Long.MAX_VALUE) {
        time.after(tookMs, () -> end(run, outcomes.of(request.task(), request.run(), id)));
      }
      return reply(TaskWorkerPort.Outcome.ACCEPTED);
    }

    private TaskWorkerPort.WorkerReply stop(String task, int number, long token) {
      if (checkFencingToken && token < fencingToken) {
        return reply(TaskWorkerPort.Outcome.FENCED);
      }
      fencingToken = token;
      closedRuns.merge(task, number, Math::max);
      Run run = running.get(task);
      if (run != null && run.number <= number) {
        end(run, TerminationReason.STOPPED);
      }
      return reply(TaskWorkerPort.Outcome.ACCEPTED);
    }

    private TaskWorkerPort.Report hold(long until, long seen, long token) {
      if (checkFencingToken && token < fencingToken) {
        return new TaskWorkerPort.Report(
            TaskWorkerPort.Outcome.FENCED, clockMs(), incarnation, List.of(), List.of(), false);
      }
      fencingToken = token;
      if (until > 0) {
        lease(until);
      }
      for (TaskWorkerPort.EndedRun end : ended) {
        boolean acknowledged = end.sequence() <= seen && end.sequence() > lapsedUpTo;
        if (acknowledged && end.reason() == TerminationReason.DONE) {
          trace(id + " forgets " + end.task() + " run " + end.run() + " fence " + token);
          acknowledgedTasks.add(end.task());
        }
      }
      ended.removeIf(end -> end.sequence() <= seen);
      return new TaskWorkerPort.Report(
          TaskWorkerPort.Outcome.ACCEPTED,
          clockMs(),
          incarnation,
          running.values().stream()
              .map(
                  run ->
                      new TaskWorkerPort.ActiveRun(
                          run.task, run.number, "", run.percent, loads.applyAsLong(run.task)))
              .toList(),
          List.copyOf(ended),
          true);
    }

    private TaskWorkerPort.WorkerReply throttle(String task, int percent) {
      Run run = running.get(task);
      if (throttleOutcome == TaskWorkerPort.Outcome.ACCEPTED && run != null) {
        run.percent = percent;
      }
      return reply(throttleOutcome);
    }

    /** Returns the speed of a run as a percentage of full speed; -1 if it doesn't run here. */
    int speedPercent(String task) {
      Run run = running.get(task);
      return run == null ? -1 : run.percent;
    }

    private TaskWorkerPort.WorkerReply reply(TaskWorkerPort.Outcome outcome) {
      return new TaskWorkerPort.WorkerReply(outcome, clockMs());
    }
  }

  private final VirtualTime time;
  private final FakeStore store;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, String> workersByRunningTask = new HashMap<>();
  private final Set<String> acknowledgedTasks = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private Outcomes outcomes = (task, run, worker) -> TerminationReason.DONE;
  private Supplier<Long> durationMs = () -> 500L;
  private final Map<String, Integer> startsByTask = new HashMap<>();
  private Predicate<String> crashesWorker = task -> false;
  private long crashDelayMs = 10;
  private long restartDelayMs = 3_300;
  private boolean hangsBeforeCrash;
  private Predicate<String> endsBeforeStartOf = task -> false;

  /** Decides whether a worker accepts the ticket of a start request. */
  Predicate<TaskWorkerPort.StartRequest> acceptsTicket = request -> true;

  private int rejectedTickets;
  private boolean renamesRestarted;
  private boolean cutsOffUnanswered;
  private int starts;
  private int crashes;
  private boolean checkFencingToken = true;

  private ToLongFunction<String> loads = task -> -1;
  private TaskWorkerPort.Outcome throttleOutcome = TaskWorkerPort.Outcome.ACCEPTED;
  private int throttleRequests;

  FakeWorkers(VirtualTime time, FakeStore store) {
    this.time = time;
    this.store = store;
  }

  /** Makes workers ignore fencing tokens, to show that the checks detect violations. */
  void ignoreFencing() {
    checkFencingToken = false;
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

  /** Changes the processor capacity that a worker publishes. */
  void resize(String id, int cpuMillis) {
    store.put(KeyedStream.WORKERS, id, ("ready " + cpuMillis).getBytes(UTF_8));
  }

  void drain(String id) {
    store.put(KeyedStream.WORKERS, id, "draining".getBytes(UTF_8));
  }

  /** Makes a worker announce that it goes on running for at least this time. */
  void drain(String id, long remainingMs) {
    String entry = "draining " + CPU_MILLIS + " " + remainingMs;
    store.put(KeyedStream.WORKERS, id, entry.getBytes(UTF_8));
  }

  void outcomes(Outcomes how) {
    outcomes = how;
  }

  void durations(Supplier<Long> ms) {
    durationMs = ms;
  }

  /** Makes the worker that starts one of the given tasks crash. */
  void crashOn(Predicate<String> tasks) {
    crashesWorker = tasks;
  }

  /** Makes workers crash before they answer the start request of the task that crashes them. */
  void crashBeforeAnswer() {
    crashDelayMs = 0;
  }

  /** Makes workers that restart close the connections of calls that came meanwhile. */
  void cutOffUnanswered() {
    cutsOffUnanswered = true;
  }

  /** Makes workers answer nothing from the start of the task that crashes them until the crash. */
  void hangBeforeCrash(long hangMs) {
    hangsBeforeCrash = true;
    crashDelayMs = hangMs;
  }

  /**
   * Makes workers crash while the start request of one of the given tasks is on its way to them.
   */
  void crashBeforeStartOf(Predicate<String> tasks) {
    endsBeforeStartOf = tasks;
  }

  /** Sets how long a worker that has crashed is away. */
  void restartDelay(long ms) {
    restartDelayMs = ms;
  }

  /** Makes workers that have crashed come back at the same address under another ID. */
  void renameRestarted() {
    renamesRestarted = true;
  }

  /** Returns how often workers have crashed because of a task. */
  int crashes() {
    return crashes;
  }

  /** Returns how often a task was started. */
  int startsOf(String task) {
    return startsByTask.getOrDefault(task, 0);
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
    return workersByRunningTask.keySet();
  }

  /** Returns the worker that a task runs on, or null. */
  @Nullable String workerOf(String task) {
    return workersByRunningTask.get(task);
  }

  /** Returns the number of start requests rejected for their ticket. */
  int rejectedTickets() {
    return rejectedTickets;
  }

  int starts() {
    return starts;
  }

  /** Sets the load that workers report for each task; unknown by default. */
  void loads(ToLongFunction<String> loadOfTask) {
    loads = loadOfTask;
  }

  /** Sets how workers answer requests to change the speed of a run. */
  void throttleOutcome(TaskWorkerPort.Outcome outcome) {
    throttleOutcome = outcome;
  }

  /** Returns the number of requests to change the speed of a run. */
  int throttleRequests() {
    return throttleRequests;
  }

  static WorkerDescriptor decode(String id, byte[] value) {
    String[] fields = new String(value, UTF_8).split(" ");
    boolean draining = fields[0].equals("draining");
    int cpuMillis = fields.length > 1 ? Integer.parseInt(fields[1]) : CPU_MILLIS;
    long remainingMs = fields.length > 2 ? Long.parseLong(fields[2]) : -1;
    return new WorkerDescriptor(
        id, id, "pool", "d", "r1-1", Set.of("a"), cpuMillis, MEMORY_MB, 0, draining, remainingMs);
  }

  private static TaskWorkerPort.WorkerReply rejectedCommand(TaskWorkerPort.Outcome outcome) {
    return new TaskWorkerPort.WorkerReply(outcome, -1);
  }

  private static TaskWorkerPort.Report rejectedReport(TaskWorkerPort.Outcome outcome) {
    return new TaskWorkerPort.Report(outcome, -1, -1, List.of(), List.of(), false);
  }

  /** Returns the workers as seen by a host. */
  TaskWorkerPort port(String host) {
    return new Port(host);
  }

  private final class Port implements TaskWorkerPort {
    private final String host;

    Port(String host) {
      this.host = host;
    }

    private <T> CompletableFuture<T> call(
        WorkerDescriptor descriptor,
        boolean delayable,
        long waitMs,
        long timeoutMs,
        Function<TaskWorkerPort.Outcome, T> rejection,
        Supplier<T> action) {
      Worker worker = get(descriptor.id());
      CompletableFuture<T> future = new CompletableFuture<>();
      final boolean hasConnection = !worker.left;
      time.after(
          timeoutMs,
          () ->
              future.completeExceptionally(
                  new PlatformException(Type.NO_RESPONSE, "no answer from " + descriptor.id())));
      time.after(
          LINK_LATENCY_MS,
          () -> {
            if (worker.left) {
              future.completeExceptionally(
                  hasConnection
                      ? connectionClosed(worker)
                      : new PlatformException(
                          Type.UNREACHABLE, worker.id + " refuses connections"));
              return;
            }
            if (worker.resetsConnections) {
              future.completeExceptionally(connectionClosed(worker));
              return;
            }
            if (worker.disconnected || worker.blockedHosts.contains(host)) {
              return;
            }
            if (!worker.up) {
              if (cutsOffUnanswered) {
                worker.unanswered.add(() -> future.completeExceptionally(connectionClosed(worker)));
              }
              return;
            }
            if (worker.hung) {
              awaitClose(worker, future);
              return;
            }
            if (delayable && time.random().nextDouble() < worker.delayedRequestShare) {
              long receivedInIncarnation = worker.incarnation;
              time.after(
                  2_000 + time.random().nextInt(8_000),
                  () -> {
                    // A delayed request is lost when the worker crashes.
                    if (worker.incarnation == receivedInIncarnation && worker.up) {
                      var unused = action.get();
                    }
                  });
              return;
            }
            T reply =
                worker.replaced
                    ? rejection.apply(TaskWorkerPort.Outcome.REPLACED)
                    : worker.unhealthy
                        ? rejection.apply(TaskWorkerPort.Outcome.UNAVAILABLE)
                        : action.get();
            boolean dropped = time.random().nextDouble() < worker.droppedAnswerShare;
            long endsBefore = worker.lastNumber;
            answer(worker, future, reply, action, waitMs, dropped, endsBefore);
          });
      return future;
    }

    private <T> void awaitClose(Worker worker, CompletableFuture<T> future) {
      if (worker.closed) {
        future.completeExceptionally(connectionClosed(worker));
      } else {
        time.after(1, () -> awaitClose(worker, future));
      }
    }

    private <T> void answer(
        Worker worker,
        CompletableFuture<T> future,
        T reply,
        Supplier<T> action,
        long waitMs,
        boolean dropped,
        long endsBefore) {
      if (worker.closed) {
        future.completeExceptionally(connectionClosed(worker));
        return;
      }
      if (worker.hung) {
        awaitClose(worker, future);
        return;
      }
      boolean waits =
          waitMs > 0
              && worker.lastNumber == endsBefore
              && worker.ended.isEmpty()
              && worker.up
              && !worker.replaced
              && !worker.unhealthy
              && !worker.disconnected;
      if (waits) {
        long incarnation = worker.incarnation;
        time.after(
            10,
            () -> {
              // A call that waits ends with the process.
              if (worker.up && worker.incarnation == incarnation) {
                answer(worker, future, action.get(), action, waitMs - 10, dropped, endsBefore);
              } else if (worker.up || worker.closed) {
                future.completeExceptionally(connectionClosed(worker));
              }
            });
        return;
      }
      time.after(
          LINK_LATENCY_MS,
          () -> {
            if (!worker.disconnected && worker.up && !dropped) {
              future.complete(reply);
            } else if (worker.closed) {
              future.completeExceptionally(connectionClosed(worker));
            }
          });
    }

    private static PlatformException connectionClosed(Worker worker) {
      return new PlatformException(Type.CONNECTION_CLOSED, worker.id + " closed the connection");
    }

    @Override
    public CompletableFuture<WorkerReply> start(
        WorkerDescriptor worker,
        StartRequest request,
        long untilMs,
        long fencingToken,
        long timeoutMs) {
      if (endsBeforeStartOf.test(request.task())) {
        time.after(1, () -> get(worker.id()).crashAndRestart());
      }
      return call(
          worker,
          true,
          0,
          timeoutMs,
          FakeWorkers::rejectedCommand,
          () -> get(worker.id()).start(request, untilMs, fencingToken));
    }

    @Override
    public CompletableFuture<WorkerReply> stop(
        WorkerDescriptor worker, String task, int run, long fencingToken, long timeoutMs) {
      return call(
          worker,
          true,
          0,
          timeoutMs,
          FakeWorkers::rejectedCommand,
          () -> get(worker.id()).stop(task, run, fencingToken));
    }

    @Override
    public CompletableFuture<WorkerReply> throttle(
        WorkerDescriptor worker,
        String task,
        int run,
        int percent,
        long fencingToken,
        long timeoutMs) {
      throttleRequests++;
      return call(
          worker,
          true,
          0,
          timeoutMs,
          FakeWorkers::rejectedCommand,
          () -> get(worker.id()).throttle(task, percent));
    }

    @Override
    public CompletableFuture<Report> renewLease(
        WorkerDescriptor worker,
        long untilMs,
        long seenUpTo,
        long fencingToken,
        long waitMs,
        long timeoutMs) {
      return call(
          worker,
          false,
          waitMs,
          timeoutMs,
          FakeWorkers::rejectedReport,
          () -> get(worker.id()).hold(untilMs, seenUpTo, fencingToken));
    }
  }
}
