package org.hickorymoor.daemon.shard;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedLogPort.Writer;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;

/**
 * The term of this host as coordinator: appends heartbeats until another host has taken over or the
 * store has confirmed none for too long. Not thread-safe; confined to the event loop thread.
 */
final class CoordinatorTerm {

  /** Receives what the heartbeats of a term show. */
  interface Listener {

    /**
     * The store has confirmed a heartbeat.
     *
     * @param claim claim of the term
     * @param offset offset of the heartbeat
     * @param sentNs when it was first sent, on the clock of {@link ShardEventLoop#nowNs}
     */
    void onHeartbeatConfirmed(CoordinatorRecord claim, long offset, long sentNs);

    /** The store has refused a heartbeat, or not answered it. */
    void onStoreFailed(PlatformException failure);

    /**
     * A heartbeat is late, so that this host may be the only one that the store does not serve.
     *
     * @param epoch epoch of the term
     * @param confirmedOffset offset of the last confirmed heartbeat
     */
    void onHeartbeatLate(long epoch, long confirmedOffset);

    /** The term of an epoch has ended; called at most once. */
    void onEnded(long epoch, String reason);
  }

  /** A heartbeat that is answered later than this is late; a healthy store takes a few ms. */
  private static final long MIN_LATE_MS = 250;

  /** A heartbeat is late after this multiple of the time that recent ones took. */
  private static final int LATE_FACTOR = 3;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final CoordinatorRecord claim;
  private final Listener listener;
  private final LatencyEstimator latencies = new LatencyEstimator();
  private long sequence = 1;
  private long confirmedNs;
  private long confirmedMs;
  private long confirmedOffset;
  private boolean heartbeatInFlight;

  /** Whether the next heartbeat repeats one that may be stored already, since no answer came. */
  private boolean repeating;

  private long firstSentNs;
  private long firstSentMs;
  private boolean firstAnnouncedLeaving;
  private long heartbeatToken;
  private boolean leaving;
  private boolean ended;

  /**
   * Creates a term.
   *
   * @param claim the stored claim
   * @param sentNs when the claim was sent, on the clock of {@link ShardEventLoop#nowNs}
   * @param offset offset of the claim
   */
  CoordinatorTerm(
      ShardEventLoop loop,
      KeyedLogPort log,
      CoordinatorRecord claim,
      long sentNs,
      long offset,
      Listener listener) {
    this.loop = loop;
    this.log = log;
    this.claim = claim;
    this.listener = listener;
    this.firstSentNs = sentNs;
    this.firstSentMs = claim.sentAtMs();
    confirm(offset);
  }

  void start() {
    scheduleHeartbeat(ShardSettings.HEARTBEAT_MS);
  }

  /** Stops the heartbeats without a call of the listener. */
  void stop() {
    ended = true;
  }

  long epoch() {
    return claim.epoch();
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Announces in the next heartbeat, sent at once, that this host wants a successor. */
  void requestSuccessor() {
    leaving = true;
    heartbeatToken++;
    sendHeartbeat(heartbeatToken);
  }

  /** No longer announces that this host wants a successor. */
  void cancelRequest() {
    leaving = false;
  }

  /**
   * Returns when the coordinator's lease ends, on the clock of {@link ShardEventLoop#nowNs}.
   *
   * <p>That clock may stand still while a host is suspended, but others count the time. The time of
   * day goes on; where it says that more time has passed, the lease ends earlier.
   */
  long leaseEndsNs() {
    long steadyElapsedNs = loop.nowNs() - confirmedNs;
    long suspendedMs = loop.nowMs() - confirmedMs - TimeUnit.NANOSECONDS.toMillis(steadyElapsedNs);
    return confirmedNs
        + TimeUnit.MILLISECONDS.toNanos(
            ShardSettings.COORDINATOR_LEASE_MS - Math.max(0, suspendedMs));
  }

  private void confirm(long offset) {
    confirmedNs = firstSentNs;
    confirmedMs = firstSentMs;
    confirmedOffset = offset;
  }

  private void scheduleHeartbeat(long delayMs) {
    heartbeatToken++;
    long token = heartbeatToken;
    loop.schedule(delayMs, () -> sendHeartbeat(token));
  }

  private void sendHeartbeat(long token) {
    if (ended || token != heartbeatToken || heartbeatInFlight) {
      return;
    }
    heartbeatInFlight = true;
    final long sentNs = loop.nowNs();
    if (!repeating) {
      firstSentNs = sentNs;
      firstSentMs = loop.nowMs();
      firstAnnouncedLeaving = leaving;
    }
    CoordinatorRecord heartbeat = leaving ? claim.asLeaving() : claim.sentAt(loop.nowMs());
    loop.schedule(
        Math.max(MIN_LATE_MS, LATE_FACTOR * latencies.smoothedMs()),
        () -> {
          if (!ended && heartbeatInFlight && token == heartbeatToken) {
            listener.onHeartbeatLate(claim.epoch(), confirmedOffset);
          }
        });
    loop.then(
        log.append(
            KeyedStream.OWNERSHIP,
            List.of(new Entry(CoordinatorRecord.KEY, heartbeat.encode())),
            new Writer(CoordinatorRecord.WRITER, claim.epoch(), sequence),
            KeyedLogPort.ANY_OFFSET,
            ShardSettings.HEARTBEAT_TIMEOUT_MS),
        (offset, failure) -> {
          heartbeatInFlight = false;
          if (ended) {
            return;
          }
          if (failure == null && offset != null) {
            onConfirmed(sentNs, offset);
          } else if (failure != null) {
            onFailed(failure);
          }
        });
  }

  private void onConfirmed(long sentNs, long offset) {
    latencies.record(loop.nowNs() - sentNs);
    // The store answers a repeat for the first attempt, which it may have stored long before.
    listener.onHeartbeatConfirmed(claim, offset, firstSentNs);
    sequence++;
    confirm(offset);
    boolean isNextDue = repeating || firstAnnouncedLeaving != leaving;
    repeating = false;
    scheduleHeartbeat(isNextDue ? 0 : ShardSettings.HEARTBEAT_MS);
  }

  private void onFailed(PlatformException failure) {
    if (failure.type() == PlatformException.Type.FENCED) {
      end("another host took over: " + failure.getMessage());
      return;
    }
    repeating = true;
    listener.onStoreFailed(failure);
    if (loop.nowNs() - leaseEndsNs() >= 0) {
      end("no heartbeat confirmed for " + ShardSettings.COORDINATOR_LEASE_MS + " ms");
      return;
    }
    listener.onHeartbeatLate(claim.epoch(), confirmedOffset);
    scheduleHeartbeat(ShardSettings.STORE_RETRY_MS);
  }

  private void end(String reason) {
    ended = true;
    listener.onEnded(claim.epoch(), reason);
  }
}
