package org.hickorymoor.domain.lease;

import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/**
 * The ownership of one worker as one host sees it.
 *
 * <p>An ownership lease is a task without demand on the worker itself. A host places its own, then
 * lists: it holds the worker only if the list shows its own lease and nobody else's. Of two hosts
 * that place one at the same time, each list comes after its host's own placing, so at least one of
 * the two sees both, and no two ever see only their own. A host that sees another's withdraws.
 *
 * <pre>{@code
 * lease.placed("hold:a:1");
 * lease.listed(sentMs, view);
 * if (lease.authorityUntilMs() > nowMs) {
 *   // may send a start that is void after lease.commandDeadlineMs() on the worker's clock
 * }
 * }</pre>
 *
 * <p>Not safe for use by several threads without a lock.
 */
public final class WorkerLease {

  /** Where the host stands with the worker. */
  public enum State {
    /** Nothing placed. */
    FREE,

    /** A lease was placed and not yet listed. */
    PLACED,

    /** The host holds the worker. */
    HELD,

    /** Another host's lease was seen, or the host gives the worker up; its own is to be stopped. */
    WITHDRAWING
  }

  private static final long NEVER_MS = Long.MIN_VALUE;

  private final LeaseSettings settings;
  private State state = State.FREE;
  private @Nullable String leaseTaskId;
  private long authorityUntilMs = NEVER_MS;
  private long commandDeadlineMs;

  /**
   * Makes a hold in state free.
   *
   * @param settings times of the lease
   */
  public WorkerLease(LeaseSettings settings) {
    this.settings = settings;
  }

  /**
   * Tells that an ownership lease is about to be placed.
   *
   * @param taskId task id of the lease, never used before
   * @throws IllegalStateException if one is placed already
   */
  public void placed(String taskId) {
    checkState(state == State.FREE, "expected state FREE, got %s", state);
    state = State.PLACED;
    leaseTaskId = taskId;
  }

  /**
   * Tells what a list showed that was asked for after the lease was placed or renewed.
   *
   * @param sentMs own monotonic time at which the call was sent that renewed the lease
   * @param view what the list showed
   * @return the state after it
   */
  public State listed(long sentMs, LeaseView view) {
    switch (state) {
      case PLACED -> decide(sentMs, view);
      case HELD -> renew(sentMs, view);
      default -> {}
    }
    return state;
  }

  /** Tells that the lease is certainly gone from the worker, or was never there. */
  public void gone() {
    state = State.FREE;
    leaseTaskId = null;
    authorityUntilMs = NEVER_MS;
    commandDeadlineMs = 0;
  }

  /** Gives the worker up: authority ends at once, and the lease is to be stopped. */
  public void withdraw() {
    if (state != State.FREE) {
      state = State.WITHDRAWING;
      authorityUntilMs = NEVER_MS;
    }
  }

  /**
   * Returns the end of the authority over the worker.
   *
   * @return own monotonic time until which the lease is certainly alive; {@link Long#MIN_VALUE} if
   *     the worker is not held
   */
  public long authorityUntilMs() {
    return authorityUntilMs;
  }

  /**
   * Returns the worker time that every command carries as its end.
   *
   * @return worker time at which the lease passes, as last listed
   */
  public long commandDeadlineMs() {
    return commandDeadlineMs;
  }

  /**
   * Returns where the host stands.
   *
   * @return the state
   */
  public State state() {
    return state;
  }

  /**
   * Returns the task id of the lease.
   *
   * @return the id
   * @throws NullPointerException if none is placed
   */
  public String leaseTaskId() {
    return requireNonNull(leaseTaskId, "no ownership lease is placed");
  }

  private void decide(long sentMs, LeaseView view) {
    if (view.othersListed()) {
      withdraw();
    } else if (!view.ownListed()) {
      gone();
    } else {
      state = State.HELD;
      extend(sentMs, view);
    }
  }

  private void renew(long sentMs, LeaseView view) {
    if (view.ownListed()) {
      extend(sentMs, view);
    } else {
      gone();
    }
  }

  private void extend(long sentMs, LeaseView view) {
    authorityUntilMs =
        Math.max(authorityUntilMs, sentMs + settings.leaseMs() - settings.marginMs());
    commandDeadlineMs = Math.max(commandDeadlineMs, view.ownLeaseUntilMs());
  }
}
