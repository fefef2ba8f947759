package org.hickorymoor.domain.lease;

import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/**
 * The ownership lease of one host on one worker, as that host sees it.
 *
 * <p>An ownership lease is a task on the worker that requires no resources. A host first places its
 * lease and then requests the worker's task list. It holds the worker only if the list contains its
 * own lease and no other. If two hosts place leases concurrently, each requests its list after
 * placing its lease, so at least one of them sees both leases, and never do both see only their
 * own. A host that sees another lease withdraws.
 *
 * <pre>{@code
 * lease.placed("hold:a:1");
 * lease.listed(sentMs, view);
 * if (lease.authorityUntilMs() > nowMs) {
 *   // may send a start command that is void after lease.commandDeadlineMs() on the worker's clock
 * }
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class WorkerLease {

  /** The state of the lease. */
  public enum State {
    /** No lease is placed. */
    FREE,

    /** A lease was placed and the worker has not listed it yet. */
    PLACED,

    /** The lease is held. */
    HELD,

    /** Another lease was seen, or the worker is being given up; the own lease must be removed. */
    WITHDRAWING
  }

  private static final long NEVER_MS = Long.MIN_VALUE;

  private final LeaseSettings settings;
  private State state = State.FREE;
  private @Nullable String leaseTaskId;
  private long authorityUntilMs = NEVER_MS;
  private long commandDeadlineMs;

  /**
   * Creates a lease in state {@link State#FREE}.
   *
   * @param settings timing of the lease
   */
  public WorkerLease(LeaseSettings settings) {
    this.settings = settings;
  }

  /**
   * Must be called before an ownership lease is placed on the worker.
   *
   * @param taskId task id of the lease; must never have been used before
   * @throws IllegalStateException if the state is not {@link State#FREE}
   */
  public void placed(String taskId) {
    checkState(state == State.FREE, "expected state FREE, got %s", state);
    state = State.PLACED;
    leaseTaskId = taskId;
  }

  /**
   * Applies a task list that was requested after the lease was placed or renewed.
   *
   * @param sentMs local monotonic time at which the call that placed or renewed the lease was sent
   * @param view the ownership leases in the list
   * @return the new state
   */
  public State listed(long sentMs, LeaseView view) {
    switch (state) {
      case PLACED -> decide(sentMs, view);
      case HELD -> renew(sentMs, view);
      default -> {}
    }
    return state;
  }

  /** Called once the lease has certainly been removed from the worker, or was never placed. */
  public void markRemoved() {
    state = State.FREE;
    leaseTaskId = null;
    authorityUntilMs = NEVER_MS;
    commandDeadlineMs = 0;
  }

  /** Gives up the worker: authority ends at once, and the lease must be removed. */
  public void withdraw() {
    if (state != State.FREE) {
      state = State.WITHDRAWING;
      authorityUntilMs = NEVER_MS;
    }
  }

  /**
   * Returns the time at which authority over the worker ends.
   *
   * @return local monotonic time until which the lease is certainly active; {@link Long#MIN_VALUE}
   *     if the worker is not held
   */
  public long authorityUntilMs() {
    return authorityUntilMs;
  }

  /**
   * Returns the deadline to send with every command, after which the worker must reject it.
   *
   * @return time on the worker's clock at which the lease expires, as last listed
   */
  public long commandDeadlineMs() {
    return commandDeadlineMs;
  }

  /**
   * Returns the state of the lease.
   *
   * @return the state
   */
  public State state() {
    return state;
  }

  /**
   * Returns the task id of the lease.
   *
   * @return the task id
   * @throws NullPointerException if no lease is placed
   */
  public String leaseTaskId() {
    return requireNonNull(leaseTaskId, "no ownership lease is placed");
  }

  private void decide(long sentMs, LeaseView view) {
    if (view.othersListed()) {
      withdraw();
    } else if (!view.ownListed()) {
      markRemoved();
    } else {
      state = State.HELD;
      extend(sentMs, view);
    }
  }

  private void renew(long sentMs, LeaseView view) {
    if (view.ownListed()) {
      extend(sentMs, view);
    } else {
      markRemoved();
    }
  }

  private void extend(long sentMs, LeaseView view) {
    authorityUntilMs =
        Math.max(authorityUntilMs, sentMs + settings.leaseMs() - settings.marginMs());
    commandDeadlineMs = Math.max(commandDeadlineMs, view.ownLeaseUntilMs());
  }
}
