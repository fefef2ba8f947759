package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorymoor.daemon.peer.PeerErrorType;
import org.hickorymoor.daemon.peer.PeerException;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.daemon.port.PeerPort;
import org.hickorymoor.daemon.shard.Shard.StoreResult;
import org.jspecify.annotations.Nullable;

/**
 * Stores one record, alternating between the store and relays through peers.
 *
 * <p>A record that is definitely not stored is given up once neither this host nor its peers reach
 * the store. One that may be stored is retried until the deadline, since only an answer resolves
 * the doubt. While the store is slow, the first host of each partition appends for the others.
 */
final class RelayedAppend {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * A store that is 100 times slower than usual processes several appends to a partition within
   * this time; after it, an answer counts as lost.
   */
  static final long TIMEOUT_MS = 1_600;

  /**
   * Timeout of an append for another host. Shorter than that host waits for the relay, so that a
   * refusal arrives while it still counts.
   */
  static final long RELAYED_TIMEOUT_MS = 1_400;

  /**
   * Least time for a relay. A peer in another region needs it to try the store and to answer; after
   * a shorter one the outcome would be unknown for no other reason.
   */
  private static final long MIN_RELAY_MS = 300;

  /** Peers tried for an append before a request is refused. */
  private static final int MAX_RELAY_PEERS = 2;

  private static final long RETRY_DELAY_MS = 60;

  private final CompletableFuture<StoreResult> result = new CompletableFuture<>();
  private final ShardEventLoop loop;
  private final SubmissionWriter submissions;
  private final PeerPort peers;
  private final Supplier<List<String>> nextPeer;
  private final @Nullable String partitionWriter;
  private final String key;
  private final byte[] value;
  private long deadlineNs;
  private boolean uncertain;
  private int peersTried;

  /** Longest time that a refusal has taken. */
  private long slowestRefusalMs;

  /**
   * Creates an append.
   *
   * @param nextPeer supplies the address of another host, or nothing if there is none
   * @param partitionWriter address of the host that appends to this host's partition while the
   *     store is slow; null if that is this host
   */
  RelayedAppend(
      ShardEventLoop loop,
      SubmissionWriter submissions,
      PeerPort peers,
      Supplier<List<String>> nextPeer,
      @Nullable String partitionWriter,
      String key,
      byte[] value) {
    this.loop = loop;
    this.submissions = submissions;
    this.peers = peers;
    this.nextPeer = nextPeer;
    this.partitionWriter = partitionWriter;
    this.key = key;
    this.value = value;
  }

  /** Starts the append; the future never fails. */
  CompletableFuture<StoreResult> start(long withinMs) {
    deadlineNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(withinMs);
    loop.execute(
        () -> {
          if (partitionWriter != null && submissions.isStoreSlow()) {
            relay(partitionWriter, this::tryStore);
          } else {
            tryStore();
          }
        });
    return result;
  }

  private long remainingMs() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNs - loop.nowNs());
  }

  private void tryStore() {
    final long sentNs = loop.nowNs();
    loop.then(
        submissions.append(key, value, timeoutMs()),
        (done, failure) -> {
          if (failure == null) {
            result.complete(StoreResult.YES);
            return;
          }
          recordFailure(failure.mayHaveTakenEffect(), sentNs);
          if (!completeIfOver()) {
            tryPeer();
          }
        });
  }

  private long timeoutMs() {
    return Math.max(1, Math.min(TIMEOUT_MS, remainingMs()));
  }

  private void tryPeer() {
    peersTried++;
    List<String> peer = nextPeer.get();
    if (peer.isEmpty()) {
      retryLater();
    } else {
      relay(peer.get(0), this::retryLater);
    }
  }

  private void relay(String peer, Runnable onFailed) {
    final long sentNs = loop.nowNs();
    var unused =
        peers
            .call(peer, new PeerRequest.RelaySubmission(key, ByteBuffer.wrap(value)), timeoutMs())
            .whenComplete(
                (reply, failure) ->
                    loop.execute(() -> onRelayed(reply, failure, sentNs, onFailed)));
  }

  private void onRelayed(
      @Nullable PeerReply reply, @Nullable Throwable failure, long sentNs, Runnable onFailed) {
    if (reply instanceof PeerReply.Done) {
      submissions.recordRelayedAppend(loop.nowNs() - sentNs);
      result.complete(StoreResult.YES);
      return;
    }
    recordFailure(mayBeStored(reply, failure), sentNs);
    onFailed.run();
  }

  /** Returns whether a relay that was not confirmed may have stored the record. */
  private static boolean mayBeStored(@Nullable PeerReply reply, @Nullable Throwable failure) {
    if (failure != null) {
      return PeerException.mayHaveReachedPeer(failure);
    }
    return !(reply instanceof PeerReply.Refused refused)
        || refused.type() == PeerErrorType.INTERNAL;
  }

  private void recordFailure(boolean mayHaveTakenEffect, long sentNs) {
    uncertain |= mayHaveTakenEffect;
    slowestRefusalMs =
        Math.max(slowestRefusalMs, TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - sentNs));
  }

  private void retryLater() {
    if (!completeIfOver()) {
      loop.schedule(RETRY_DELAY_MS, this::tryStore);
    }
  }

  private boolean completeIfOver() {
    // A further attempt that is refused as late as the slowest one would end without an answer, and
    // the outcome would be unknown for no other reason.
    boolean certainlyNotStored =
        !uncertain
            && (peersTried >= MAX_RELAY_PEERS
                || remainingMs() <= RETRY_DELAY_MS + Math.max(MIN_RELAY_MS, slowestRefusalMs));
    if (remainingMs() > RETRY_DELAY_MS && !certainlyNotStored) {
      return false;
    }
    logger.atInfo().log(
        "submissions: Giving up on record %s, %s.",
        key, uncertain ? "which may be stored" : "which is not stored");
    result.complete(uncertain ? StoreResult.UNKNOWN : StoreResult.NO);
    return true;
  }
}
