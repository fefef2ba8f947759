package org.hickorymoor.daemon.coordinator;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.WorkerPort;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.lease.WorkerHold;
import org.hickorymoor.domain.lease.WorkerHold.State;
import org.hickorymoor.protocol.platform.CommandReply;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one worker: takes its ownership lease, renews it and the tasks' leases, and gives it up.
 *
 * <p>At most one sync is on its way at a time. Safe for use by several threads; state is under the
 * agent's own lock, and no call goes out with the lock held.
 */
final class WorkerAgent {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ENDLESS_PAYLOAD = "{\"sleepMs\":-1}";
  private static final long RETRY_MS = 100;
  private static final long CONTEST_BACK_OFF_MS = 400;

  /** What happens on a held worker. Called without any lock held. */
  interface Listener {

    /**
     * Tells what a held worker listed.
     *
     * @param agent the agent
     * @param sentMs own time at which the sync was sent
     * @param reply the list
     */
    void synced(WorkerAgent agent, long sentMs, SyncReply reply);
  }

  private final String workerId;
  private final CoordinatorSettings settings;
  private final WorkerPort port;
  private final LongSupplier clockMs;
  private final Listener listener;
  private final Jitter jitter;
  private final Object lock = new Object();

  private String address;
  private final WorkerHold hold;
  private boolean wanted;
  private boolean callOut;
  private boolean labelsWanted = true;
  private long dueMs;
  private long lastReplyMs = Long.MIN_VALUE;
  private long placedSentMs;
  private long holdSequence;
  private int commandsOut;
  private long releaseNotBeforeMs;
  private List<String> toAck = new ArrayList<>();
  private List<String> ackOut = List.of();
  private List<String> lastEnded = List.of();
  private Renewals renewals = () -> List.of();

  /** Names the tasks whose leases are to be renewed. */
  @FunctionalInterface
  interface Renewals {

    /**
     * Returns the tasks to renew now.
     *
     * @return task ids; empty if there is no authority to renew
     */
    List<String> taskIds();
  }

  WorkerAgent(
      String workerId,
      String address,
      CoordinatorSettings settings,
      WorkerPort port,
      LongSupplier clockMs,
      Jitter jitter,
      Listener listener) {
    this.workerId = workerId;
    this.address = address;
    this.settings = settings;
    this.port = port;
    this.clockMs = clockMs;
    this.jitter = jitter;
    this.listener = listener;
    this.hold = new WorkerHold(settings.hold());
  }

  String workerId() {
    return workerId;
  }

  String address() {
    synchronized (lock) {
      return address;
    }
  }

  void moveTo(String newAddress) {
    synchronized (lock) {
      address = newAddress;
    }
  }

  /** Says whether the worker is to be held, and which tasks to renew while it is. */
  void want(boolean held, Renewals taskRenewals) {
    synchronized (lock) {
      wanted = held;
      renewals = taskRenewals;
      if (!held) {
        hold.withdraw();
      } else {
        labelsWanted = true;
      }
      dueMs = Math.min(dueMs, clockMs.getAsLong());
    }
  }

  /** Tells whether the worker is held and answers. */
  boolean held() {
    synchronized (lock) {
      return hold.state() == State.HELD && clockMs.getAsLong() < hold.authorityUntilMs();
    }
  }

  boolean free() {
    synchronized (lock) {
      return hold.state() == State.FREE && !callOut;
    }
  }

  long authorityUntilMs() {
    synchronized (lock) {
      return hold.authorityUntilMs();
    }
  }

  long commandLimitMs() {
    synchronized (lock) {
      return hold.commandLimitMs();
    }
  }

  /** Returns the own time of the last answer to a sync, or the smallest value before the first. */
  long lastReplyMs() {
    synchronized (lock) {
      return lastReplyMs;
    }
  }

  /** Has the next sync list labels. */
  void askForLabels() {
    synchronized (lock) {
      labelsWanted = true;
    }
  }

  /** Acknowledges an ended task with the next sync. */
  void acknowledge(String taskId) {
    synchronized (lock) {
      toAck.add(taskId);
    }
  }

  /** Sends a command to the worker; the caller has checked its authority. */
  CompletableFuture<CommandReply> start(StartCommand command) {
    synchronized (lock) {
      commandsOut++;
    }
    return port.start(address(), command, settings.callTimeoutMs())
        .whenComplete((reply, failure) -> commandEnded(failure));
  }

  private void commandEnded(@Nullable Throwable failure) {
    synchronized (lock) {
      commandsOut--;
      if (failure != null) {
        releaseNotBeforeMs = clockMs.getAsLong() + settings.hold().leaseMs();
      }
    }
  }

  CompletableFuture<CommandReply> stop(String taskId) {
    TaskCommand command = new TaskCommand(taskId, 0, commandLimitMs());
    return port.stop(address(), command, settings.callTimeoutMs());
  }

  CompletableFuture<CommandReply> throttle(String taskId, int percent) {
    TaskCommand command = new TaskCommand(taskId, percent, commandLimitMs());
    return port.throttle(address(), command, settings.callTimeoutMs());
  }

  CompletableFuture<CommandReply> checkpoint(String taskId) {
    TaskCommand command = new TaskCommand(taskId, 0, commandLimitMs());
    return port.checkpoint(address(), command, settings.callTimeoutMs());
  }

  /** Does what is due. Returns at once; answers come on other threads. */
  void step() {
    @Nullable Runnable call;
    synchronized (lock) {
      if (callOut || clockMs.getAsLong() < dueMs) {
        return;
      }
      call = nextCall();
      callOut = call != null;
    }
    if (call != null) {
      call.run();
    }
  }

  private @Nullable Runnable nextCall() {
    return switch (hold.state()) {
      case FREE -> wanted ? this::place : null;
      case PLACED -> this::list;
      case HELD -> this::sync;
      case WITHDRAWING -> mayRelease() ? this::release : null;
    };
  }

  /** Keeps the lease in place while a start may still take effect under it. */
  private boolean mayRelease() {
    return commandsOut == 0 && clockMs.getAsLong() >= releaseNotBeforeMs;
  }

  private void place() {
    String leaseTaskId;
    synchronized (lock) {
      holdSequence++;
      leaseTaskId =
          HoldLists.PREFIX + settings.hostId() + ":" + settings.incarnation() + ":" + holdSequence;
      hold.placed(leaseTaskId);
      placedSentMs = clockMs.getAsLong();
    }
    StartCommand command =
        new StartCommand(
            leaseTaskId,
            Map.of("host", settings.hostId()),
            Resources.NONE,
            ENDLESS_PAYLOAD,
            null,
            settings.hold().leaseMs(),
            0);
    port.start(address(), command, settings.callTimeoutMs())
        .whenComplete((reply, failure) -> placed(failure));
  }

  private void placed(@Nullable Throwable failure) {
    boolean certainlyAbsent =
        unwrap(failure) instanceof PlatformException e && !e.mayHaveTakenEffect();
    synchronized (lock) {
      callOut = false;
      if (certainlyAbsent) {
        hold.gone();
        backOff(CONTEST_BACK_OFF_MS);
        return;
      }
    }
    step();
  }

  private void list() {
    SyncCommand command = new SyncCommand(Map.of(), List.of(), List.of(), 0, true, 0);
    port.sync(address(), command, settings.callTimeoutMs())
        .whenComplete((reply, failure) -> listed(reply));
  }

  private void listed(@Nullable SyncReply reply) {
    long sentMs;
    synchronized (lock) {
      callOut = false;
      sentMs = placedSentMs;
      if (reply == null) {
        hold.withdraw();
        backOff(CONTEST_BACK_OFF_MS);
        return;
      }
      lastReplyMs = clockMs.getAsLong();
      if (hold.state() == State.PLACED) {
        hold.listed(sentMs, HoldLists.view(hold.leaseTaskId(), reply));
      }
      if (hold.state() != State.HELD) {
        backOff(hold.state() == State.WITHDRAWING ? 0 : CONTEST_BACK_OFF_MS);
        return;
      }
      labelsWanted = false;
    }
    logger.atFine().log("coordinator: Took worker %s.", workerId);
    listener.synced(this, sentMs, reply);
    step();
  }

  private void sync() {
    SyncCommand command;
    long sentMs;
    List<String> tasks = taskRenewals().taskIds();
    synchronized (lock) {
      if (hold.state() != State.HELD) {
        callOut = false;
        return;
      }
      Map<String, Long> renew = new HashMap<>();
      renew.put(hold.leaseTaskId(), settings.hold().leaseMs());
      tasks.forEach(taskId -> renew.put(taskId, settings.taskLeaseMs()));
      ackOut = toAck;
      toAck = new ArrayList<>();
      command =
          new SyncCommand(
              renew, ackOut, lastEnded, settings.syncWaitMs(), labelsWanted, hold.commandLimitMs());
      sentMs = clockMs.getAsLong();
    }
    port.sync(address(), command, settings.syncWaitMs() + settings.callTimeoutMs())
        .whenComplete((reply, failure) -> synced(sentMs, reply));
  }

  private Renewals taskRenewals() {
    synchronized (lock) {
      return renewals;
    }
  }

  private void synced(long sentMs, @Nullable SyncReply reply) {
    synchronized (lock) {
      callOut = false;
      if (reply == null) {
        toAck.addAll(ackOut);
        ackOut = List.of();
        backOff(RETRY_MS);
        return;
      }
      ackOut = List.of();
      lastReplyMs = clockMs.getAsLong();
      lastEnded = reply.ended().stream().map(ended -> ended.taskId()).toList();
      labelsWanted = false;
      if (hold.state() == State.HELD) {
        hold.listed(sentMs, HoldLists.renewed(hold.leaseTaskId(), reply));
      }
      if (hold.state() != State.HELD) {
        logger.atInfo().log("coordinator: Lost worker %s.", workerId);
        labelsWanted = true;
        return;
      }
    }
    listener.synced(this, sentMs, reply);
    step();
  }

  private void release() {
    String leaseTaskId;
    synchronized (lock) {
      leaseTaskId = hold.leaseTaskId();
    }
    TaskCommand command = new TaskCommand(leaseTaskId, 0, 0);
    port.stop(address(), command, settings.callTimeoutMs())
        .whenComplete((reply, failure) -> released(failure));
  }

  private void released(@Nullable Throwable failure) {
    synchronized (lock) {
      callOut = false;
      long lapsedMs = Math.max(placedSentMs, lastReplyMs) + 2 * settings.hold().leaseMs();
      if (failure == null || clockMs.getAsLong() > lapsedMs) {
        hold.gone();
        backOff(CONTEST_BACK_OFF_MS);
      } else {
        backOff(RETRY_MS);
      }
    }
  }

  private void backOff(long baseMs) {
    dueMs = clockMs.getAsLong() + baseMs + jitter.upToMs(baseMs);
  }

  static @Nullable Throwable unwrap(@Nullable Throwable failure) {
    if (failure instanceof CompletionException && failure.getCause() != null) {
      return failure.getCause();
    }
    return failure;
  }
}
