package org.hickorymoor.daemon.cellconfig;

import org.hickorymoor.daemon.shard.ShardEventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Tells how recently the store confirmed, directly or through a peer, that this host has the newest
 * configuration. Written on the event loop thread, readable by any thread.
 */
final class Confirmation {

  /** What a host may conclude from its configuration. */
  enum Status {
    /** The configuration was the newest one less than the time to apply a version ago. */
    CONFIRMED,
    /** There may be a newer configuration that is in force elsewhere. */
    UNCONFIRMED,
    /** As unconfirmed, and neither the store nor a peer has answered for that time. */
    ISOLATED
  }

  /** Age of a confirmation that never came. */
  static final long NEVER = -1;

  private final ShardEventLoop loop;
  private final long validMs;
  private volatile @Nullable Moment confirmed;
  private volatile Moment answered;

  /**
   * Creates the state of a host that starts now.
   *
   * @param loop event loop, for its clocks
   * @param validMs how long a confirmation holds
   */
  Confirmation(ShardEventLoop loop, long validMs) {
    this.loop = loop;
    this.validMs = validMs;
    this.answered = Moment.now(loop);
  }

  /** Notes that the store or a peer has answered. */
  void onAnswer() {
    answered = Moment.now(loop);
  }

  /** Notes that the configuration was the newest one at a moment; earlier ones are ignored. */
  void confirm(Moment at) {
    Moment now = Moment.now(loop);
    Moment latest = confirmed;
    // An answer that took less than the wait that was asked for confirms nothing beyond itself.
    Moment bounded =
        new Moment(Math.min(at.steadyNs(), now.steadyNs()), Math.min(at.wallMs(), now.wallMs()));
    if (latest == null || bounded.elapsedMs(now) < latest.elapsedMs(now)) {
      confirmed = bounded;
    }
  }

  /** Returns the time since the newest confirmation, or {@link #NEVER}. */
  long ageMs() {
    Moment latest = confirmed;
    return latest == null ? NEVER : latest.elapsedMs(Moment.now(loop));
  }

  Status status() {
    long ageMs = ageMs();
    if (ageMs != NEVER && ageMs < validMs) {
      return Status.CONFIRMED;
    }
    return answered.elapsedMs(Moment.now(loop)) < validMs ? Status.UNCONFIRMED : Status.ISOLATED;
  }
}
