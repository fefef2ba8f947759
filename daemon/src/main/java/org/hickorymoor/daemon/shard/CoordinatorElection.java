package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Chunk;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedLogPort.Page;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedLogPort.Writer;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Elects the host that coordinates.
 *
 * <p>The coordinator appends a heartbeat at a fixed interval. The other hosts wait for the next
 * one. When none arrives within the election timeout although the store answers, they claim the
 * next epoch with a conditional append that only one of them can win. An outage of the store
 * therefore never changes the coordinator. Not thread-safe; confined to the event loop thread,
 * except for {@link #current}.
 */
final class CoordinatorElection {

  /** Receives changes of this host's role. */
  interface Listener {

    /** This host has become the coordinator. */
    void onElected(CoordinatorRecord self);

    /** This host is no longer the coordinator; called once for each {@link #onElected}. */
    void onDeposed(String reason);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String KEY = "coordinator";
  private static final String WRITER = "coordinator";

  /**
   * A claim advances the epoch by a random step up to this value, so that simultaneous claims
   * differ and the store can't mistake one for a repeat of the other.
   */
  private static final int MAX_EPOCH_STEP = 4_096;

  /** How long a host that became slow claims nothing; slow hosts recover within seconds. */
  private static final long CANDIDACY_PAUSE_MS = 8_000;

  /**
   * Maximum random delay of a claim; spreads the claims of hosts that detect the loss of the
   * heartbeat at the same time.
   */
  private static final int CLAIM_JITTER_MS = 150;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final ShardSettings settings;
  private final Listener listener;
  private volatile @Nullable CoordinatorRecord current;
  private @Nullable CoordinatorRecord self;
  private long nextOffset;
  private long sequence;
  private boolean heartbeatInFlight;
  private long heartbeatToken;
  private boolean leaving;
  private long confirmedNs;
  private boolean candidate = true;
  private boolean firstLoad = true;
  private boolean withdrawn;
  private boolean stopped;
  private boolean storeUnavailable;

  CoordinatorElection(
      ShardEventLoop loop, KeyedLogPort log, ShardSettings settings, Listener listener) {
    this.loop = loop;
    this.log = log;
    this.settings = settings;
    this.listener = listener;
  }

  /** Starts following the heartbeats. */
  void start() {
    loop.execute(this::load);
  }

  /** Returns the latest known coordinator, which may be this host, or null if none is known. */
  @Nullable CoordinatorRecord current() {
    return current;
  }

  /** Returns whether this host is the coordinator. */
  boolean isSelf() {
    return self != null;
  }

  /**
   * Returns when the coordinator's lease ends, up to which it may renew the leases of workers.
   *
   * @return time on the clock of {@link ShardEventLoop#nowNs}
   */
  long coordinatorLeaseEndsNs() {
    return confirmedNs + TimeUnit.MILLISECONDS.toNanos(ShardSettings.COORDINATOR_LEASE_MS);
  }

  /**
   * Requests a successor if this host is the coordinator, and stops claiming. This host coordinates
   * until a successor has claimed, so that jobs don't wait for the change.
   */
  void leave() {
    withdrawn = true;
    candidate = false;
    requestSuccessor("this host stops");
  }

  /**
   * Requests a successor because this host has become slow, and claims nothing for a while. A
   * successor that is no faster requests another one in turn.
   */
  void pauseCandidacy(String reason) {
    if (self == null || leaving) {
      return;
    }
    candidate = false;
    loop.schedule(CANDIDACY_PAUSE_MS, this::resumeCandidacy);
    requestSuccessor(reason);
  }

  private void resumeCandidacy() {
    if (!withdrawn) {
      candidate = true;
      leaving = false;
    }
  }

  private void requestSuccessor(String reason) {
    CoordinatorRecord incumbent = self;
    if (incumbent == null || leaving) {
      return;
    }
    logger.atInfo().log(
        "ownership: Requesting a successor for epoch %d: %s.", incumbent.epoch(), reason);
    leaving = true;
    heartbeatToken++;
    sendHeartbeat(incumbent, heartbeatToken);
  }

  /** Stops sending heartbeats, following and claiming. */
  void stop() {
    stopped = true;
  }

  /** Ends the term of this host because a successor has been seen. */
  void stepDown(String reason) {
    if (self != null) {
      endTerm(reason);
      load();
    }
  }

  private void load() {
    if (stopped || self != null) {
      return;
    }
    loop.then(
        log.readNewest(KeyedStream.OWNERSHIP, null, ShardSettings.STORE_TIMEOUT_MS),
        this::onLoaded);
  }

  private void onLoaded(@Nullable Page page, @Nullable PlatformException failure) {
    if (page == null) {
      onStoreFailed(failure);
      loop.schedule(ShardSettings.STORE_RETRY_MS, this::load);
      return;
    }
    onStoreAnswered();
    nextOffset = page.endOffset();
    page.records().forEach(this::onRecord);
    CoordinatorRecord latest = current;
    boolean wasCoordinator =
        firstLoad && latest != null && latest.hostId().equals(settings.hostId());
    firstLoad = false;
    if (latest == null || wasCoordinator || latest.leaving()) {
      // A record that names this host is from before a restart, so no host coordinates now.
      scheduleClaim();
    } else {
      follow();
    }
  }

  private void follow() {
    if (stopped || self != null) {
      return;
    }
    long waitMs = ShardSettings.ELECTION_TIMEOUT_MS;
    loop.then(
        log.read(
            KeyedStream.OWNERSHIP, nextOffset, waitMs, waitMs + ShardSettings.STORE_TIMEOUT_MS),
        this::onFollowed);
  }

  private void onFollowed(@Nullable Chunk chunk, @Nullable PlatformException failure) {
    if (failure != null && failure.type() == PlatformException.Type.TRIMMED) {
      load();
      return;
    }
    if (chunk == null) {
      onStoreFailed(failure);
      loop.schedule(ShardSettings.STORE_RETRY_MS, this::load);
      return;
    }
    onStoreAnswered();
    if (chunk.records().isEmpty()) {
      scheduleClaim();
      return;
    }
    for (StoredRecord stored : chunk.records()) {
      onRecord(stored);
      nextOffset = stored.offset() + 1;
    }
    CoordinatorRecord latest = current;
    if (latest != null && latest.leaving()) {
      scheduleClaim();
    } else {
      follow();
    }
  }

  private void onRecord(StoredRecord stored) {
    CoordinatorRecord record = CoordinatorRecord.decode(stored.value());
    if (record == null) {
      logger.atWarning().log(
          "ownership: Malformed coordinator record at offset %d, ignored.", stored.offset());
      return;
    }
    CoordinatorRecord previous = current;
    if (previous == null || record.epoch() >= previous.epoch()) {
      if (previous == null || record.epoch() > previous.epoch()) {
        logger.atInfo().log(
            "ownership: Host %s is the coordinator, epoch %d, offset %d.",
            record.hostId(), record.epoch(), stored.offset());
      }
      current = record;
    }
  }

  private void scheduleClaim() {
    if (!candidate) {
      loop.schedule(ShardSettings.HEARTBEAT_MS, this::follow);
      return;
    }
    loop.schedule(loop.random().nextInt(CLAIM_JITTER_MS), this::claim);
  }

  private void claim() {
    if (stopped || self != null || !candidate) {
      return;
    }
    CoordinatorRecord previous = current;
    long epoch =
        (previous == null ? 0 : previous.epoch()) + 1 + loop.random().nextInt(MAX_EPOCH_STEP);
    CoordinatorRecord claim =
        new CoordinatorRecord(
            epoch, settings.hostId(), settings.peerAddress(), UUID.randomUUID().toString(), false);
    long sentNs = loop.nowNs();
    loop.then(
        log.append(
            KeyedStream.OWNERSHIP,
            List.of(new Entry(KEY, claim.encode())),
            new Writer(WRITER, epoch, 0),
            nextOffset,
            ShardSettings.STORE_TIMEOUT_MS),
        (offset, failure) -> onClaimed(claim, sentNs, offset, failure));
  }

  private void onClaimed(
      CoordinatorRecord claim,
      long sentNs,
      @Nullable Long offset,
      @Nullable PlatformException failure) {
    if (stopped) {
      return;
    }
    if (offset == null) {
      logger.atInfo().log(
          "ownership: Claim of epoch %d failed: %s",
          claim.epoch(), failure == null ? "no offset" : failure.getMessage());
      // A claim without an answer may have succeeded; the stored record decides.
      verifyClaim(claim, sentNs);
      return;
    }
    if (offset != nextOffset) {
      load();
      return;
    }
    onClaimWon(claim, sentNs);
  }

  private void verifyClaim(CoordinatorRecord claim, long sentNs) {
    loop.then(
        log.readNewest(KeyedStream.OWNERSHIP, null, ShardSettings.STORE_TIMEOUT_MS),
        (page, failure) -> {
          if (page == null) {
            loop.schedule(ShardSettings.STORE_RETRY_MS, () -> verifyClaim(claim, sentNs));
            return;
          }
          CoordinatorRecord stored =
              page.records().isEmpty()
                  ? null
                  : CoordinatorRecord.decode(page.records().get(0).value());
          if (stored != null && stored.nonce().equals(claim.nonce())) {
            onClaimWon(claim, sentNs);
          } else {
            onLoaded(page, null);
          }
        });
  }

  private void onClaimWon(CoordinatorRecord claim, long sentNs) {
    logger.atInfo().log("ownership: This host is elected coordinator, epoch %d.", claim.epoch());
    self = claim;
    current = claim;
    sequence = 1;
    confirmedNs = sentNs;
    leaving = !candidate;
    listener.onElected(claim);
    scheduleHeartbeat(claim, ShardSettings.HEARTBEAT_MS);
  }

  private void scheduleHeartbeat(CoordinatorRecord claim, long delayMs) {
    heartbeatToken++;
    long token = heartbeatToken;
    loop.schedule(delayMs, () -> sendHeartbeat(claim, token));
  }

  private void sendHeartbeat(CoordinatorRecord claim, long token) {
    if (stopped || self != claim || token != heartbeatToken || heartbeatInFlight) {
      return;
    }
    heartbeatInFlight = true;
    long sentNs = loop.nowNs();
    boolean announcesLeaving = leaving;
    loop.then(
        log.append(
            KeyedStream.OWNERSHIP,
            List.of(new Entry(KEY, (announcesLeaving ? claim.asLeaving() : claim).encode())),
            new Writer(WRITER, claim.epoch(), sequence),
            KeyedLogPort.ANY_OFFSET,
            ShardSettings.HEARTBEAT_TIMEOUT_MS),
        (offset, failure) -> {
          heartbeatInFlight = false;
          onHeartbeatCompleted(claim, sentNs, announcesLeaving, failure);
        });
  }

  private void onHeartbeatCompleted(
      CoordinatorRecord claim,
      long sentNs,
      boolean announcedLeaving,
      @Nullable PlatformException failure) {
    if (stopped || self != claim) {
      return;
    }
    if (failure == null) {
      onStoreAnswered();
      sequence++;
      confirmedNs = sentNs;
      scheduleHeartbeat(claim, announcedLeaving == leaving ? ShardSettings.HEARTBEAT_MS : 0);
      return;
    }
    if (failure.type() == PlatformException.Type.FENCED) {
      endTerm("another host took over: " + failure.getMessage());
      load();
      return;
    }
    onStoreFailed(failure);
    if (loop.nowNs() - coordinatorLeaseEndsNs() >= 0) {
      endTerm("no heartbeat confirmed for " + ShardSettings.COORDINATOR_LEASE_MS + " ms");
      load();
      return;
    }
    scheduleHeartbeat(claim, ShardSettings.STORE_RETRY_MS);
  }

  private void endTerm(String reason) {
    CoordinatorRecord endedTerm = self;
    self = null;
    leaving = false;
    if (endedTerm != null) {
      logger.atInfo().log(
          "ownership: Term of this host ended, epoch %d: %s.", endedTerm.epoch(), reason);
      listener.onDeposed(reason);
    }
  }

  private void onStoreAnswered() {
    if (storeUnavailable) {
      storeUnavailable = false;
      logger.atInfo().log("ownership: Store answers again.");
    }
  }

  private void onStoreFailed(@Nullable PlatformException failure) {
    if (!storeUnavailable) {
      storeUnavailable = true;
      logger.atWarning().log(
          "ownership: Store does not answer: %s",
          failure == null ? "no reason" : failure.getMessage());
    }
  }
}
