package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Chunk;
import org.hickorymoor.daemon.port.KeyedLogPort.Page;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Elects the host that coordinates.
 *
 * <p>The coordinator appends a heartbeat at a fixed interval. The other hosts wait for the next
 * one. When none arrives within the election timeout although the store answers, they claim the
 * next epoch with a conditional append that only one of them can win. An outage of the store
 * therefore never changes the coordinator. A host claims earlier if the coordinator refuses
 * connections or asks for a successor, but only after the store has shown that there is no newer
 * heartbeat. Not thread-safe; confined to the event loop thread, except for {@link #current}.
 */
final class CoordinatorElection {

  /** Receives changes of this host's role. */
  interface Listener {

    /** This host has become the coordinator. */
    void onElected(CoordinatorRecord self);

    /** This host is no longer the coordinator; called once for each {@link #onElected}. */
    void onDeposed(String reason);

    /**
     * The store does not serve this host, which coordinates; a peer that it serves may take over.
     *
     * @param confirmedOffset offset of the last confirmed heartbeat
     */
    void onStoreLost(long epoch, long confirmedOffset);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a host that became slow claims nothing; slow hosts recover within seconds. */
  private static final long CANDIDACY_PAUSE_MS = 8_000;

  /**
   * Maximum random delay of a claim; spreads the claims of hosts that detect the loss of the
   * heartbeat at the same time.
   */
  private static final int CLAIM_JITTER_MS = 150;

  /**
   * Delay of a claim by a host without any processor capacity; proportionally less up to one core,
   * which a coordinator of some hundred workers needs in a burst.
   */
  private static final long WEAK_HOST_DELAY_MS = 250;

  /**
   * Age of the last heartbeat at which a coordinator that refuses connections is replaced; longer
   * than the interval of heartbeats and an answer of the store.
   */
  private static final long UNREACHABLE_TIMEOUT_MS = 550;

  /** Timeout of the read before an early claim; a store that takes longer counts as slow. */
  private static final long CLAIM_READ_TIMEOUT_MS = 200;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final ShardSettings settings;
  private final Listener listener;
  private final HeartbeatHistory heartbeats;
  private final HostStarts hostStarts;
  private volatile @Nullable CoordinatorRecord current;
  private @Nullable CoordinatorTerm term;
  private long nextOffset;
  private long lastRecordNs;

  /** Number of the current series of reads; answers to earlier series are ignored. */
  private long readSeries;

  private boolean claimScheduled;
  private boolean claimInFlight;
  private boolean unreachableCheckScheduled;
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
    this.heartbeats = new HeartbeatHistory(loop, settings.leaseMs());
    this.hostStarts = new HostStarts(loop, log, settings, heartbeats);
  }

  /** Starts following the heartbeats. */
  void start() {
    loop.execute(
        () -> {
          hostStarts.start();
          startReading();
        });
  }

  /** Returns the latest known coordinator, which may be this host, or null if none is known. */
  @Nullable CoordinatorRecord current() {
    return current;
  }

  /** Returns the heartbeats that this host has observed. */
  HeartbeatHistory heartbeats() {
    return heartbeats;
  }

  /** Returns the starts of hosts that this host has read. */
  HostStarts hostStarts() {
    return hostStarts;
  }

  /** Returns whether this host is the coordinator. */
  boolean isSelf() {
    return term != null;
  }

  /**
   * Returns when the coordinator's lease ends, up to which it may renew the leases of workers.
   *
   * @return time on the clock of {@link ShardEventLoop#nowNs}; now if this host does not coordinate
   */
  long coordinatorLeaseEndsNs() {
    CoordinatorTerm own = term;
    return own == null ? loop.nowNs() : own.leaseEndsNs();
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
    CoordinatorTerm own = term;
    if (own == null || own.isLeaving()) {
      return;
    }
    candidate = false;
    loop.schedule(CANDIDACY_PAUSE_MS, this::resumeCandidacy);
    requestSuccessor(reason);
  }

  private void resumeCandidacy() {
    if (!withdrawn) {
      candidate = true;
      if (term != null) {
        term.cancelRequest();
      }
    }
  }

  private void requestSuccessor(String reason) {
    CoordinatorTerm own = term;
    if (own == null || own.isLeaving()) {
      return;
    }
    logger.atInfo().log("ownership: Requesting a successor for epoch %d: %s.", own.epoch(), reason);
    own.requestSuccessor();
  }

  /** Stops sending heartbeats, following and claiming. */
  void stop() {
    stopped = true;
    hostStarts.stop();
    if (term != null) {
      term.stop();
    }
  }

  /** Ends the term of this host because a successor has been seen. */
  void stepDown(String reason) {
    CoordinatorTerm own = term;
    if (own != null) {
      own.stop();
      endTerm(own.epoch(), reason);
    }
  }

  /**
   * Claims at once if the coordinator asks for a successor because the store does not serve it, and
   * it serves this host.
   *
   * @param epoch epoch of the coordinator
   * @param confirmedOffset offset of its last confirmed heartbeat
   */
  void onSuccessorRequested(long epoch, long confirmedOffset) {
    claimIfSilent(epoch, confirmedOffset + 1, "the store does not serve the coordinator");
  }

  /**
   * Claims early if no heartbeat follows after the coordinator has refused a connection.
   *
   * @param epoch epoch of the coordinator
   */
  void onCoordinatorUnreachable(long epoch) {
    CoordinatorRecord latest = current;
    if (unreachableCheckScheduled || latest == null || latest.epoch() != epoch) {
      return;
    }
    unreachableCheckScheduled = true;
    final long seenOffset = nextOffset;
    long ageMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - lastRecordNs);
    loop.schedule(
        Math.max(0, UNREACHABLE_TIMEOUT_MS - ageMs),
        () -> {
          unreachableCheckScheduled = false;
          if (nextOffset == seenOffset) {
            claimIfSilent(epoch, seenOffset, "the coordinator refuses connections");
          }
        });
  }

  /**
   * Claims if the store answers quickly and shows no record at or after the expected end.
   * Heartbeats that are late in a slow store are no reason to replace the coordinator.
   */
  private void claimIfSilent(long epoch, long expectedEnd, String reason) {
    CoordinatorRecord latest = current;
    if (!mayClaim()
        || claimScheduled
        || storeUnavailable
        || latest == null
        || latest.epoch() != epoch) {
      return;
    }
    loop.then(
        log.readNewest(KeyedStream.OWNERSHIP, null, CLAIM_READ_TIMEOUT_MS),
        (page, failure) -> {
          CoordinatorRecord newest = current;
          if (page != null
              && page.endOffset() == expectedEnd
              && newest != null
              && newest.epoch() == epoch) {
            logger.atInfo().log("ownership: Replacing epoch %d: %s.", epoch, reason);
            nextOffset = expectedEnd;
            scheduleClaim();
          }
        });
  }

  private boolean mayClaim() {
    return !stopped && term == null && candidate && !claimInFlight;
  }

  private void startReading() {
    readSeries++;
    load(readSeries);
  }

  private boolean isOutdated(long series) {
    return stopped || term != null || series != readSeries;
  }

  private void load(long series) {
    if (isOutdated(series)) {
      return;
    }
    loop.then(
        log.readNewest(KeyedStream.OWNERSHIP, null, ShardSettings.STORE_TIMEOUT_MS),
        (page, failure) -> onLoaded(series, page, failure));
  }

  private void onLoaded(long series, @Nullable Page page, @Nullable PlatformException failure) {
    if (isOutdated(series)) {
      return;
    }
    if (page == null) {
      onStoreFailed(failure);
      firstLoad = false;
      loop.schedule(ShardSettings.STORE_RETRY_MS, () -> load(series));
      return;
    }
    onStoreAnswered();
    nextOffset = page.endOffset();
    page.records().forEach(this::onRecord);
    CoordinatorRecord latest = current;
    hostStarts.announce(latest == null ? 0 : latest.epoch());
    boolean abandoned = firstLoad && latest != null && isFromBeforeRestart(latest);
    firstLoad = false;
    if (latest == null || abandoned || latest.leaving()) {
      scheduleClaim();
    }
    follow(series);
  }

  /**
   * Returns whether a record that this host reads right after its start is from a coordinator that
   * is gone: this host itself, before its restart, or one that has sent no heartbeat for too long.
   * Where clocks differ, this may replace a coordinator needlessly, which does no harm.
   */
  private boolean isFromBeforeRestart(CoordinatorRecord latest) {
    return latest.hostId().equals(settings.hostId())
        || (latest.sentAtMs() > 0
            && loop.nowMs() - latest.sentAtMs() > ShardSettings.ELECTION_TIMEOUT_MS);
  }

  private void follow(long series) {
    if (isOutdated(series)) {
      return;
    }
    long waitMs = ShardSettings.ELECTION_TIMEOUT_MS;
    loop.then(
        log.read(
            KeyedStream.OWNERSHIP, nextOffset, waitMs, waitMs + ShardSettings.STORE_TIMEOUT_MS),
        (chunk, failure) -> onFollowed(series, chunk, failure));
  }

  private void onFollowed(long series, @Nullable Chunk chunk, @Nullable PlatformException failure) {
    if (isOutdated(series)) {
      return;
    }
    if (failure != null && failure.type() == PlatformException.Type.TRIMMED) {
      load(series);
      return;
    }
    if (chunk == null) {
      onStoreFailed(failure);
      loop.schedule(ShardSettings.STORE_RETRY_MS, () -> load(series));
      return;
    }
    onStoreAnswered();
    for (StoredRecord stored : chunk.records()) {
      onRecord(stored);
      nextOffset = Math.max(nextOffset, stored.offset() + 1);
    }
    CoordinatorRecord latest = current;
    if (chunk.records().isEmpty() || (latest != null && latest.leaving())) {
      scheduleClaim();
    }
    follow(series);
  }

  private void onRecord(StoredRecord stored) {
    CoordinatorRecord record = CoordinatorRecord.decode(stored.value());
    if (record == null) {
      logger.atWarning().log(
          "ownership: Malformed coordinator record at offset %d, ignored.", stored.offset());
      return;
    }
    lastRecordNs = loop.nowNs();
    heartbeats.onObserved(record, stored.offset());
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

  /** Claims after a random delay, unless a newer record is read in the meantime. */
  private void scheduleClaim() {
    if (claimScheduled) {
      return;
    }
    claimScheduled = true;
    final long expectedEnd = nextOffset;
    double missingProcessors = Math.max(0, 1 - settings.processors());
    long delayMs =
        Math.round(WEAK_HOST_DELAY_MS * missingProcessors) + loop.random().nextInt(CLAIM_JITTER_MS);
    loop.schedule(
        delayMs,
        () -> {
          claimScheduled = false;
          if (nextOffset == expectedEnd) {
            claim(expectedEnd);
          }
        });
  }

  private void claim(long expectedEnd) {
    if (!mayClaim()) {
      return;
    }
    claimInFlight = true;
    CoordinatorRecord latest = current;
    new CoordinatorClaim(loop, log, settings, latest == null ? 0 : latest.epoch(), expectedEnd)
        .send(
            (claim, offset) -> onClaimWon(claim, offset),
            newest -> {
              claimInFlight = false;
              newest.records().forEach(this::onRecord);
              nextOffset = Math.max(nextOffset, newest.endOffset());
            });
  }

  private void onClaimWon(CoordinatorClaim won, long offset) {
    claimInFlight = false;
    if (stopped || term != null) {
      return;
    }
    CoordinatorRecord claim = won.record();
    logger.atInfo().log("ownership: This host is elected coordinator, epoch %d.", claim.epoch());
    CoordinatorTerm own =
        new CoordinatorTerm(loop, log, claim, won.sentNs(), offset, new TermListener());
    term = own;
    current = claim;
    heartbeats.onConfirmed(claim, offset, won.sentNs());
    listener.onElected(claim);
    own.start();
    if (!candidate) {
      own.requestSuccessor();
    }
  }

  private void endTerm(long epoch, String reason) {
    if (term == null || term.epoch() != epoch) {
      return;
    }
    term = null;
    logger.atInfo().log("ownership: Term of this host ended, epoch %d: %s.", epoch, reason);
    listener.onDeposed(reason);
    startReading();
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

  /** Listens to the heartbeats of this host's term. */
  private final class TermListener implements CoordinatorTerm.Listener {
    @Override
    public void onHeartbeatConfirmed(CoordinatorRecord claim, long offset, long sentNs) {
      onStoreAnswered();
      heartbeats.onConfirmed(claim, offset, sentNs);
    }

    @Override
    public void onStoreFailed(PlatformException failure) {
      CoordinatorElection.this.onStoreFailed(failure);
    }

    @Override
    public void onHeartbeatLate(long epoch, long confirmedOffset) {
      listener.onStoreLost(epoch, confirmedOffset);
    }

    @Override
    public void onEnded(long epoch, String reason) {
      endTerm(epoch, reason);
    }
  }
}
