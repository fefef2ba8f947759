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
import org.hickorymoor.domain.lease.WorkerLease;
import org.hickorymoor.domain.lease.WorkerLease.State;
import org.hickorymoor.protocol.platform.CommandReply;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.jspecify.annotations.Nullable;

/**
 * Manages this host's ownership lease on one worker: acquires it, renews it together with the
 * leases of tasks, and releases it.
 *
 * <p>At most one sync is in flight at a time. Thread-safe: the agent's own lock guards the state
 * and is never held during a remote call.
 */
final class WorkerAgent {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String LEASE_TASK_PAYLOAD = "{\"sleepMs\":-1}";
  private static final long RETRY_MS = 100;
  private static final long CONTENTION_BACKOFF_MS = 400;

  /** Receives the task lists of a worker that is held. Called without any lock held. */
  interface Listener {

    /**
     * Called when a worker that is held has replied to a sync.
     *
     * @param agent agent of the worker
     * @param sentMs local time at which the sync was sent
     * @param reply the reply with the worker's task list
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
  private final WorkerLease lease;
  private boolean ownershipWanted;
  private boolean callInFlight;
  private boolean labelsWanted = true;
  private long nextCallMs;
  private long lastReplyMs = Long.MIN_VALUE;
  private long placedSentMs;
  private long leaseSequence;
  private int startsInFlight;
  private long earliestReleaseMs;
  private List<String> pendingAcks = new ArrayList<>();
  private List<String> acksInFlight = List.of();
  private List<String> lastEnded = List.of();
  private Renewals renewals = () -> List.of();

  /** Supplies the tasks whose leases to renew. */
  @FunctionalInterface
  interface Renewals {

    /**
     * Returns the tasks whose leases to renew with the next sync.
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
    this.lease = new WorkerLease(settings.ownershipLease());
  }

  String workerId() {
    return workerId;
  }

  String address() {
    synchronized (lock) {
      return address;
    }
  }

  void setAddress(String newAddress) {
    synchronized (lock) {
      address = newAddress;
    }
  }

  /** Sets whether to hold the worker, and which task leases to renew while it is held. */
  void setOwnershipWanted(boolean held, Renewals taskRenewals) {
    synchronized (lock) {
      ownershipWanted = held;
      renewals = taskRenewals;
      if (!held) {
        lease.withdraw();
      } else {
        labelsWanted = true;
      }
      nextCallMs = Math.min(nextCallMs, clockMs.getAsLong());
    }
  }

  /** Returns whether the ownership lease is held and has not expired. */
  boolean held() {
    synchronized (lock) {
      return lease.state() == State.HELD && clockMs.getAsLong() < lease.authorityUntilMs();
    }
  }

  boolean isReleased() {
    synchronized (lock) {
      return lease.state() == State.FREE && !callInFlight;
    }
  }

  long authorityUntilMs() {
    synchronized (lock) {
      return lease.authorityUntilMs();
    }
  }

  long commandDeadlineMs() {
    synchronized (lock) {
      return lease.commandDeadlineMs();
    }
  }

  /** Returns the local time of the last reply with a list; {@link Long#MIN_VALUE} if none. */
  long lastReplyMs() {
    synchronized (lock) {
      return lastReplyMs;
    }
  }

  /** Requests task labels with the next sync. */
  void askForLabels() {
    synchronized (lock) {
      labelsWanted = true;
    }
  }

  /** Acknowledges the end of a task with the next sync. */
  void acknowledge(String taskId) {
    synchronized (lock) {
      pendingAcks.add(taskId);
    }
  }

  /** Sends a start command; the caller must have checked its authority. */
  CompletableFuture<CommandReply> start(StartCommand command) {
    synchronized (lock) {
      startsInFlight++;
    }
    return port.start(address(), command, settings.callTimeoutMs())
        .whenComplete((reply, failure) -> startCompleted(failure));
  }

  private void startCompleted(@Nullable Throwable failure) {
    synchronized (lock) {
      startsInFlight--;
      if (failure != null) {
        earliestReleaseMs = clockMs.getAsLong() + settings.ownershipLease().leaseMs();
      }
    }
  }

  CompletableFuture<CommandReply> stop(String taskId) {
    TaskCommand command = new TaskCommand(taskId, 0, commandDeadlineMs());
    return port.stop(address(), command, settings.callTimeoutMs());
  }

  CompletableFuture<CommandReply> throttle(String taskId, int percent) {
    TaskCommand command = new TaskCommand(taskId, percent, commandDeadlineMs());
    return port.throttle(address(), command, settings.callTimeoutMs());
  }

  CompletableFuture<CommandReply> checkpoint(String taskId) {
    TaskCommand command = new TaskCommand(taskId, 0, commandDeadlineMs());
    return port.checkpoint(address(), command, settings.callTimeoutMs());
  }

  /** Sends the next call if one is due. Does not block; replies arrive on other threads. */
  void step() {
    @Nullable Runnable call;
    synchronized (lock) {
      if (callInFlight || clockMs.getAsLong() < nextCallMs) {
        return;
      }
      call = nextCall();
      callInFlight = call != null;
    }
    if (call != null) {
      call.run();
    }
  }

  private @Nullable Runnable nextCall() {
    return switch (lease.state()) {
      case FREE -> ownershipWanted ? this::place : null;
      case PLACED -> this::list;
      case HELD -> this::sync;
      case WITHDRAWING -> mayRelease() ? this::release : null;
    };
  }

  /** Returns whether no start command can still take effect under the ownership lease. */
  private boolean mayRelease() {
    return startsInFlight == 0 && clockMs.getAsLong() >= earliestReleaseMs;
  }

  private void place() {
    String leaseTaskId;
    synchronized (lock) {
      leaseSequence++;
      leaseTaskId =
          OwnershipLeases.PREFIX
              + settings.hostId()
              + ":"
              + settings.incarnation()
              + ":"
              + leaseSequence;
      lease.placed(leaseTaskId);
      placedSentMs = clockMs.getAsLong();
    }
    StartCommand command =
        new StartCommand(
            leaseTaskId,
            Map.of("host", settings.hostId()),
            Resources.NONE,
            LEASE_TASK_PAYLOAD,
            null,
            settings.ownershipLease().leaseMs(),
            0);
    port.start(address(), command, settings.callTimeoutMs())
        .whenComplete((reply, failure) -> placed(failure));
  }

  private void placed(@Nullable Throwable failure) {
    boolean hadNoEffect = unwrap(failure) instanceof PlatformException e && !e.mayHaveTakenEffect();
    synchronized (lock) {
      callInFlight = false;
      if (hadNoEffect) {
        lease.markRemoved();
        backOff(CONTENTION_BACKOFF_MS);
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
      callInFlight = false;
      sentMs = placedSentMs;
      if (reply == null) {
        lease.withdraw();
        backOff(CONTENTION_BACKOFF_MS);
        return;
      }
      lastReplyMs = clockMs.getAsLong();
      if (lease.state() == State.PLACED) {
        lease.listed(sentMs, OwnershipLeases.view(lease.leaseTaskId(), reply));
      }
      if (lease.state() != State.HELD) {
        backOff(lease.state() == State.WITHDRAWING ? 0 : CONTENTION_BACKOFF_MS);
        return;
      }
      labelsWanted = false;
    }
    logger.atFine().log("coordinator: Acquired the ownership lease on worker %s.", workerId);
    listener.synced(this, sentMs, reply);
    step();
  }

  private void sync() {
    SyncCommand command;
    long sentMs;
    List<String> tasks = taskRenewals().taskIds();
    synchronized (lock) {
      if (lease.state() != State.HELD) {
        callInFlight = false;
        return;
      }
      Map<String, Long> renew = new HashMap<>();
      renew.put(lease.leaseTaskId(), settings.ownershipLease().leaseMs());
      tasks.forEach(taskId -> renew.put(taskId, settings.taskLeaseMs()));
      acksInFlight = pendingAcks;
      pendingAcks = new ArrayList<>();
      command =
          new SyncCommand(
              renew,
              acksInFlight,
              lastEnded,
              settings.syncWaitMs(),
              labelsWanted,
              lease.commandDeadlineMs());
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
      callInFlight = false;
      if (reply == null) {
        pendingAcks.addAll(acksInFlight);
        acksInFlight = List.of();
        backOff(RETRY_MS);
        return;
      }
      acksInFlight = List.of();
      lastReplyMs = clockMs.getAsLong();
      lastEnded = reply.ended().stream().map(ended -> ended.taskId()).toList();
      labelsWanted = false;
      if (lease.state() == State.HELD) {
        lease.listed(sentMs, OwnershipLeases.renewed(lease.leaseTaskId(), reply));
      }
      if (lease.state() != State.HELD) {
        logger.atInfo().log("coordinator: Lost the ownership lease on worker %s.", workerId);
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
      leaseTaskId = lease.leaseTaskId();
    }
    TaskCommand command = new TaskCommand(leaseTaskId, 0, 0);
    port.stop(address(), command, settings.callTimeoutMs())
        .whenComplete((reply, failure) -> released(failure));
  }

  private void released(@Nullable Throwable failure) {
    synchronized (lock) {
      callInFlight = false;
      long expiredMs =
          Math.max(placedSentMs, lastReplyMs) + 2 * settings.ownershipLease().leaseMs();
      if (failure == null || clockMs.getAsLong() > expiredMs) {
        lease.markRemoved();
        backOff(CONTENTION_BACKOFF_MS);
      } else {
        backOff(RETRY_MS);
      }
    }
  }

  private void backOff(long baseMs) {
    nextCallMs = clockMs.getAsLong() + baseMs + jitter.upToMs(baseMs);
  }

  static @Nullable Throwable unwrap(@Nullable Throwable failure) {
    if (failure instanceof CompletionException && failure.getCause() != null) {
      return failure.getCause();
    }
    return failure;
  }
}
