package org.hickorymoor.daemon.cellconfig;

import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.shard.ShardEventLoop;

/**
 * A reading of both clocks of this host.
 *
 * <p>The steady clock may stand still while the host is suspended, and the wall clock may be set.
 * The larger elapsed time counts, so that neither makes a confirmation look younger than it is.
 *
 * @param steadyNs reading of the monotonic clock
 * @param wallMs Unix time
 */
record Moment(long steadyNs, long wallMs) {

  static Moment now(ShardEventLoop loop) {
    return new Moment(loop.nowNs(), loop.nowMs());
  }

  Moment plusMs(long ms) {
    return new Moment(steadyNs + TimeUnit.MILLISECONDS.toNanos(ms), wallMs + ms);
  }

  /** Returns the time elapsed until a later moment; 0 if that is not later. */
  long elapsedMs(Moment later) {
    long steadyMs = TimeUnit.NANOSECONDS.toMillis(later.steadyNs - steadyNs);
    return Math.max(0, Math.max(steadyMs, later.wallMs - wallMs));
  }
}
