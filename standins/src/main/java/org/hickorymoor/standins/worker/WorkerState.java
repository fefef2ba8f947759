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
import org.hickorymoor.protocol.platform.EndOutcome;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.hickorymoor.protocol.platform.WorkerInfo;
import org.jspecify.annotations.Nullable;

/**
 * What runs on a worker and what has ended.
 *
 * <p>Time takes effect in {@link #settle}, which every call runs first: a task whose lease has
 * passed has ended before a late renewal is looked at. Safe for use by several threads; waiting
 * calls are answered outside the lock.
 */
final class WorkerState {

  private final WorkerSettings settings;
  private final WorkerClock clock;
  private final Object lock = new Object();
  private final Recorder recorder;
  private final List<Run> running = new ArrayList<>();
  private final List<Run.Ended> ended = new ArrayList<>();
  private final List<WaitingSync> waiting = new ArrayList<>();
  private final UsageHistory usage = new UsageHistory();
  private String incarnation = "";
  private WorkerNoise noise = WorkerNoise.NONE;
  private long usageMissingSinceMs = Run.NEVER_MS;
  private long lastRunNumber;

  /** A sync that is held back until a task ends or its time passes. */
  private record WaitingSync(
      SyncCommand command, Set<String> known, long untilMs, Consumer<SyncReply> reply) {}

  WorkerState(WorkerSettings settings, WorkerClock clock) {
    this.settings = settings;
    this.clock = clock;
    this.recorder = new Recorder(clock, settings.capacity());
  }

  /** Forgets everything that runs or has ended, as a restart of the worker does. */
  void restart() {
    synchronized (lock) {
      long nowMs = clock.nowMs();
      running.forEach(run -> recorder.ended(run, EndOutcome.STOPPED, nowMs));
      running.clear();
      ended.clear();
      waiting.clear();
      incarnation = UUID.randomUUID().toString();
      recordUsage(nowMs);
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
    return command(command.notAfterMs(), nowMs -> startNow(command, nowMs));
  }

  CommandReply stop(TaskCommand command) {
    return onTask(command, (run, nowMs) -> endNow(run, EndOutcome.STOPPED, nowMs));
  }

  CommandReply throttle(TaskCommand command) {
    return onTask(
        command,
        (run, nowMs) -> {
          run.throttle(nowMs, command.percent());
          run.recordUsage(nowMs, noise, reportAtMs(nowMs));
          recordUsage(nowMs);
          return null;
        });
  }

  CommandReply checkpoint(TaskCommand command) {
    return onTask(command, (run, nowMs) -> run.checkpoint(nowMs).token());
  }

  /** Renews and acknowledges at once; the reply may come later. */
  void sync(SyncCommand command, Consumer<SyncReply> reply) {
    List<Runnable> answers = new ArrayList<>();
    synchronized (lock) {
      long nowMs = clock.nowMs();
      settleRuns(nowMs);
      if (isExpired(command.notAfterMs(), nowMs)) {
        SyncReply expired = syncReply(command, CommandOutcome.EXPIRED, nowMs);
        answers.add(() -> reply.accept(expired));
      } else {
        renewAndAcknowledge(command, nowMs);
        waiting.add(waitingSync(command, nowMs, reply));
      }
      collectAnswers(nowMs, answers);
    }
    answers.forEach(Runnable::run);
  }

  /** Ends what is due and answers the calls that waited for it; returns when to settle next. */
  long settle() {
    List<Runnable> answers = new ArrayList<>();
    long nextMs;
    synchronized (lock) {
      long nowMs = clock.nowMs();
      settleRuns(nowMs);
      collectAnswers(nowMs, answers);
      nextMs = nextEventMs();
    }
    answers.forEach(Runnable::run);
    return nextMs;
  }

  void setNoise(WorkerNoise changed) {
    synchronized (lock) {
      long nowMs = clock.nowMs();
      settleRuns(nowMs);
      if (changed.usageMissing() != noise.usageMissing()) {
        usageMissingSinceMs = changed.usageMissing() ? nowMs : Run.NEVER_MS;
      }
      noise = changed;
      for (Run run : running) {
        run.drainAt(nowMs, changed.drainPercent());
        run.recordUsage(nowMs, changed, reportAtMs(nowMs));
      }
      recordUsage(nowMs);
    }
  }

  WorkerNoise noise() {
    synchronized (lock) {
      return noise;
    }
  }

  WorkerRecord record() {
    synchronized (lock) {
      settleRuns(clock.nowMs());
      return recorder.record();
    }
  }

  /** What a command does to one run; returns a checkpoint or null. */
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
              ? new Done(CommandOutcome.NOT_FOUND, null)
              : new Done(CommandOutcome.DONE, checkpoint);
        });
  }

  private record Done(CommandOutcome outcome, @Nullable String checkpoint) {}

  @FunctionalInterface
  private interface Action {
    Done apply(long nowMs);
  }

  private CommandReply command(long notAfterMs, Action action) {
    List<Runnable> answers = new ArrayList<>();
    CommandReply reply;
    synchronized (lock) {
      long nowMs = clock.nowMs();
      settleRuns(nowMs);
      Done done =
          isExpired(notAfterMs, nowMs)
              ? new Done(CommandOutcome.EXPIRED, null)
              : action.apply(nowMs);
      settleRuns(nowMs);
      collectAnswers(nowMs, answers);
      reply = new CommandReply(nowMs, incarnation, done.outcome(), done.checkpoint());
    }
    answers.forEach(Runnable::run);
    return reply;
  }

  private boolean isExpired(long notAfterMs, long nowMs) {
    boolean expired = notAfterMs > 0 && nowMs > notAfterMs;
    if (expired) {
      recorder.expired();
    }
    return expired;
  }

  private Done startNow(StartCommand command, long nowMs) {
    Payload payload =
        noise.failAll() ? Payload.failing("worker fails all") : Payload.read(command.payload());
    long workMs = payload.sleepMs();
    String token = command.checkpoint();
    if (token != null && !noise.failAll()) {
      Optional<Checkpoint> checkpoint = Checkpoint.read(token);
      if (checkpoint.isPresent()) {
        workMs = checkpoint.get().remainingMs();
      } else {
        payload = Payload.failing("expected a checkpoint of this worker's kind, got " + token);
        workMs = 0;
      }
    }
    lastRunNumber++;
    Run run = new Run(lastRunNumber, command, payload, workMs, nowMs, noise.drainPercent());
    recorder.started(run, running, nowMs);
    running.add(run);
    run.recordUsage(nowMs, noise, reportAtMs(nowMs));
    recordUsage(nowMs);
    return new Done(CommandOutcome.DONE, null);
  }

  private @Nullable String endNow(Run run, EndOutcome outcome, long endedMs) {
    running.remove(run);
    ended.add(run.ended(outcome, endedMs));
    recorder.ended(run, outcome, endedMs);
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

  private void settleRuns(long nowMs) {
    List<Run> due = new ArrayList<>();
    for (Run run : running) {
      if (run.endMs() <= nowMs) {
        due.add(run);
      }
    }
    due.sort((a, b) -> Long.compare(a.endMs(), b.endMs()));
    for (Run run : due) {
      endNow(run, run.endOutcome(), run.endMs());
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

  /** Takes the waiting calls that can be answered now out of the list. */
  private void collectAnswers(long nowMs, List<Runnable> answers) {
    Iterator<WaitingSync> calls = waiting.iterator();
    while (calls.hasNext()) {
      WaitingSync call = calls.next();
      if (call.untilMs() <= nowMs || hasNewEnd(call)) {
        calls.remove();
        SyncReply reply = syncReply(call.command(), CommandOutcome.DONE, nowMs);
        answers.add(() -> call.reply().accept(reply));
      }
    }
  }

  private boolean hasNewEnd(WaitingSync call) {
    return ended.stream().anyMatch(task -> !call.known().contains(task.taskId()));
  }

  private SyncReply syncReply(SyncCommand command, CommandOutcome outcome, long nowMs) {
    long usageAtMs = reportAtMs(nowMs);
    boolean withLabels = command.withLabels();
    return new SyncReply(
        nowMs,
        incarnation,
        outcome,
        running.stream().map(run -> run.listed(withLabels, usageAtMs)).toList(),
        ended.stream().map(task -> task.listed(withLabels)).toList(),
        usage.at(usageAtMs));
  }

  private long nextEventMs() {
    long nextMs = Run.NEVER_MS;
    for (Run run : running) {
      nextMs = Math.min(nextMs, run.endMs());
    }
    for (WaitingSync call : waiting) {
      nextMs = Math.min(nextMs, call.untilMs());
    }
    return nextMs;
  }

  private long reportAtMs(long nowMs) {
    return Math.min(nowMs, usageMissingSinceMs) - settings.usageLagMs();
  }

  private void recordUsage(long nowMs) {
    int cpuMillis = 0;
    int memoryMb = 0;
    int connections = 0;
    for (Run run : running) {
      cpuMillis += run.trueCpuMillis(noise);
      memoryMb += run.trueMemoryMb(noise);
      connections += run.demand().connections();
    }
    usage.set(nowMs, cpuMillis, memoryMb, connections, reportAtMs(nowMs));
  }
}
