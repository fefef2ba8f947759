package org.hickorymoor.standins.worker;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;
import org.hickorymoor.protocol.platform.CommandOutcome;
import org.hickorymoor.protocol.platform.CommandReply;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.hickorymoor.protocol.platform.TaskOutcome;
import org.hickorymoor.protocol.platform.WorkerInfo;
import org.jspecify.annotations.Nullable;

/**
 * The running and ended tasks of a worker.
 *
 * <p>Every call ends due runs first, as {@link #processDueEvents} does, so a late renewal cannot
 * revive a task whose lease has expired. Thread-safe; waiting calls are answered outside the lock.
 */
final class WorkerState {

  private final WorkerSettings settings;
  private final WorkerClock clock;
  private final Object lock = new Object();
  private final RunRecorder recorder;
  private final List<Run> running = new ArrayList<>();
  private final List<Run.EndedRun> ended = new ArrayList<>();
  private final List<WaitingSync> waitingSyncs = new ArrayList<>();
  private final UsageHistory usage = new UsageHistory();
  private String incarnation = "";
  private WorkerFaults faults = WorkerFaults.NONE;
  private long usageMissingSinceMs = Run.NEVER_MS;
  private long lastRunNumber;

  /** A long-polling sync that is answered when a task ends or its wait time has elapsed. */
  private record WaitingSync(
      SyncCommand command, Set<String> known, long untilMs, Consumer<SyncReply> reply) {}

  WorkerState(WorkerSettings settings, WorkerClock clock) {
    this.settings = settings;
    this.clock = clock;
    this.recorder = new RunRecorder(clock, settings.capacity());
  }

  /** Discards all running and ended tasks and takes a new incarnation, as a worker restart does. */
  void restart() {
    synchronized (lock) {
      long nowMs = clock.nowMs();
      running.forEach(run -> recorder.recordEnd(run, TaskOutcome.STOPPED, nowMs));
      running.clear();
      ended.clear();
      waitingSyncs.clear();
      incarnation = UUID.randomUUID().toString();
      recordUsage(usageChangeMs(nowMs));
    }
  }

  WorkerInfo info() {
    synchronized (lock) {
      return new WorkerInfo(
          settings.workerId(),
          incarnation,
          settings.domain(),
          settings.rack(),
          clock.nowMs(),
          settings.capacity());
    }
  }

  CommandReply start(StartCommand command) {
    return command(command.notAfterMs(), nowMs -> startRun(command, nowMs));
  }

  CommandReply stop(TaskCommand command) {
    return onTask(command, (run, nowMs) -> endRun(run, TaskOutcome.STOPPED, nowMs));
  }

  CommandReply throttle(TaskCommand command) {
    return onTask(
        command,
        (run, nowMs) -> {
          run.throttle(nowMs, command.percent());
          run.recordUsage(usageChangeMs(nowMs), faults, usageReportAtMs(nowMs));
          recordUsage(usageChangeMs(nowMs));
          return null;
        });
  }

  CommandReply checkpoint(TaskCommand command) {
    return onTask(command, (run, nowMs) -> run.checkpoint(nowMs).token());
  }

  /** Renews leases and acknowledges ends immediately; the reply may follow later. */
  void sync(SyncCommand command, Consumer<SyncReply> reply) {
    List<Runnable> replies = new ArrayList<>();
    synchronized (lock) {
      long nowMs = clock.nowMs();
      endDueRuns(nowMs);
      if (isExpired(command.notAfterMs(), nowMs)) {
        SyncReply expired = syncReply(command, CommandOutcome.EXPIRED, nowMs);
        replies.add(() -> reply.accept(expired));
      } else {
        renewAndAcknowledge(command, nowMs);
        waitingSyncs.add(waitingSync(command, nowMs, reply));
      }
      collectReplies(nowMs, replies);
    }
    replies.forEach(Runnable::run);
  }

  /** Ends due runs and answers the calls that wait for them; returns the time of the next event. */
  long processDueEvents() {
    List<Runnable> replies = new ArrayList<>();
    long nextMs;
    synchronized (lock) {
      long nowMs = clock.nowMs();
      endDueRuns(nowMs);
      collectReplies(nowMs, replies);
      nextMs = nextEventMs();
    }
    replies.forEach(Runnable::run);
    return nextMs;
  }

  void setFaults(WorkerFaults changed) {
    synchronized (lock) {
      long nowMs = clock.nowMs();
      endDueRuns(nowMs);
      if (changed.usageMissing() != faults.usageMissing()) {
        usageMissingSinceMs = changed.usageMissing() ? nowMs : Run.NEVER_MS;
      }
      faults = changed;
      for (Run run : running) {
        run.setDrainPercent(nowMs, changed.drainPercent());
        run.recordUsage(nowMs, changed, usageReportAtMs(nowMs));
      }
      recordUsage(nowMs);
    }
  }

  WorkerFaults faults() {
    synchronized (lock) {
      return faults;
    }
  }

  WorkerRecord record() {
    synchronized (lock) {
      endDueRuns(clock.nowMs());
      return recorder.record();
    }
  }

  /** Effect of a command on one run; returns a checkpoint or null. */
  @FunctionalInterface
  private interface RunAction {
    @Nullable String apply(Run run, long nowMs);
  }

  private CommandReply onTask(TaskCommand command, RunAction action) {
    return command(
        command.notAfterMs(),
        nowMs -> {
          List<Run> found = runsOf(command.taskId());
          String checkpoint = null;
          for (Run run : found) {
            checkpoint = action.apply(run, nowMs);
          }
          return found.isEmpty()
              ? new CommandResult(CommandOutcome.NOT_FOUND, null)
              : new CommandResult(CommandOutcome.DONE, checkpoint);
        });
  }

  private record CommandResult(CommandOutcome outcome, @Nullable String checkpoint) {}

  @FunctionalInterface
  private interface CommandAction {
    CommandResult apply(long nowMs);
  }

  private CommandReply command(long notAfterMs, CommandAction action) {
    List<Runnable> replies = new ArrayList<>();
    CommandReply reply;
    synchronized (lock) {
      long nowMs = clock.nowMs();
      endDueRuns(nowMs);
      CommandResult result =
          isExpired(notAfterMs, nowMs)
              ? new CommandResult(CommandOutcome.EXPIRED, null)
              : action.apply(nowMs);
      endDueRuns(nowMs);
      collectReplies(nowMs, replies);
      reply = new CommandReply(nowMs, incarnation, result.outcome(), result.checkpoint());
    }
    replies.forEach(Runnable::run);
    return reply;
  }

  private boolean isExpired(long notAfterMs, long nowMs) {
    boolean expired = notAfterMs > 0 && nowMs > notAfterMs;
    if (expired) {
      recorder.recordExpiredCommand();
    }
    return expired;
  }

  private CommandResult startRun(StartCommand command, long nowMs) {
    Payload payload =
        faults.failAll()
            ? Payload.failing("worker is set to fail every task")
            : Payload.read(command.payload());
    long workMs = payload.sleepMs();
    String token = command.checkpoint();
    if (token != null && !faults.failAll()) {
      Optional<Checkpoint> checkpoint = Checkpoint.read(token);
      if (checkpoint.isPresent()) {
        workMs = checkpoint.get().remainingMs();
      } else {
        payload = Payload.failing("expected a checkpoint of this worker's kind, got " + token);
        workMs = 0;
      }
    }
    lastRunNumber++;
    Run run = new Run(lastRunNumber, command, payload, workMs, nowMs, faults.drainPercent());
    recorder.recordStart(run, running, nowMs);
    running.add(run);
    run.recordUsage(usageChangeMs(nowMs), faults, usageReportAtMs(nowMs));
    recordUsage(usageChangeMs(nowMs));
    return new CommandResult(CommandOutcome.DONE, null);
  }

  private @Nullable String endRun(Run run, TaskOutcome outcome, long endedMs) {
    running.remove(run);
    ended.add(run.toEndedRun(outcome, endedMs));
    recorder.recordEnd(run, outcome, endedMs);
    recordUsage(endedMs);
    return null;
  }

  private List<Run> runsOf(String taskId) {
    List<Run> found = new ArrayList<>();
    for (Run run : running) {
      if (run.taskId().equals(taskId)) {
        found.add(run);
      }
    }
    return found;
  }

  private void endDueRuns(long nowMs) {
    List<Run> due = new ArrayList<>();
    for (Run run : running) {
      if (run.endMs() <= nowMs) {
        due.add(run);
      }
    }
    due.sort((a, b) -> Long.compare(a.endMs(), b.endMs()));
    for (Run run : due) {
      endRun(run, run.endOutcome(), run.endMs());
    }
  }

  private void renewAndAcknowledge(SyncCommand command, long nowMs) {
    for (Run run : running) {
      Long leaseMs = command.renew().get(run.taskId());
      if (leaseMs != null) {
        run.renew(nowMs, leaseMs);
      }
    }
    Set<String> acknowledged = new HashSet<>(command.ack());
    ended.removeIf(task -> acknowledged.contains(task.taskId()));
  }

  private static WaitingSync waitingSync(
      SyncCommand command, long nowMs, Consumer<SyncReply> reply) {
    Set<String> known = new HashSet<>(command.seen());
    known.addAll(command.ack());
    return new WaitingSync(command, known, nowMs + command.waitMs(), reply);
  }

  /** Removes the waiting calls that can be answered now and adds their replies. */
  private void collectReplies(long nowMs, List<Runnable> replies) {
    Iterator<WaitingSync> calls = waitingSyncs.iterator();
    while (calls.hasNext()) {
      WaitingSync call = calls.next();
      if (call.untilMs() <= nowMs || hasUnseenEnd(call)) {
        calls.remove();
        SyncReply reply = syncReply(call.command(), CommandOutcome.DONE, nowMs);
        replies.add(() -> call.reply().accept(reply));
      }
    }
  }

  private boolean hasUnseenEnd(WaitingSync call) {
    return ended.stream().anyMatch(task -> !call.known().contains(task.taskId()));
  }

  private SyncReply syncReply(SyncCommand command, CommandOutcome outcome, long nowMs) {
    long usageAtMs = usageReportAtMs(nowMs);
    boolean withLabels = command.withLabels();
    return new SyncReply(
        nowMs,
        incarnation,
        outcome,
        running.stream().map(run -> run.toRunningTask(withLabels, usageAtMs)).toList(),
        ended.stream().map(task -> task.toEndedTask(withLabels)).toList(),
        usage.at(usageAtMs));
  }

  private long nextEventMs() {
    long nextMs = Run.NEVER_MS;
    for (Run run : running) {
      nextMs = Math.min(nextMs, run.endMs());
    }
    for (WaitingSync call : waitingSyncs) {
      nextMs = Math.min(nextMs, call.untilMs());
    }
    return nextMs;
  }

  private long usageReportAtMs(long nowMs) {
    return Math.min(nowMs, usageMissingSinceMs) - settings.usageLagMs();
  }

  /**
   * Returns when a change of the usage counts. While reports are frozen, a change within the
   * millisecond in which they were frozen counts from the next one, so that it isn't reported.
   */
  private long usageChangeMs(long nowMs) {
    return faults.usageMissing() ? Math.max(nowMs, usageMissingSinceMs + 1) : nowMs;
  }

  private void recordUsage(long nowMs) {
    int cpuMillis = 0;
    int memoryMb = 0;
    int connections = 0;
    for (Run run : running) {
      cpuMillis += run.actualCpuMillis(faults);
      memoryMb += run.actualMemoryMb(faults);
      connections += run.demand().connections();
    }
    usage.set(nowMs, cpuMillis, memoryMb, connections, usageReportAtMs(nowMs));
  }
}
