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
 * Decides which host coordinates.
 *
 * <p>The coordinator appends a heartbeat at a steady pace. The others wait for the next one; when
 * none has come within the silence while the store did answer, they claim the next epoch with a
 * conditional append, which only one of them can win. An outage of the store therefore never
 * changes the coordinator. Belongs to the thread of the loop, but for {@link #current}.
 */
final class CoordinatorElection {

  /** Told what becomes of this host. */
  interface Listener {

    /** This host coordinates from now on. */
    void onElected(CoordinatorRecord self);

    /** This host coordinates no more; called once for each {@link #onElected}. */
    void onDeposed(String reason);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String KEY = "coordinator";
  private static final String WRITER = "coordinator";

  /** Epochs of two claims at one time differ, so that the store can't take one for a repeat. */
  private static final int EPOCH_STEP = 4_096;

  /** Time for which a host that became slow does not claim; slow hosts recover within seconds. */
  private static final long REST_MS = 8_000;

  /** Spreads the claims of hosts that notice the silence at the same moment. */
  private static final int CLAIM_SPREAD_MS = 150;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final ShardSettings settings;
  private final Listener listener;
  private volatile @Nullable CoordinatorRecord current;
  private @Nullable CoordinatorRecord self;
  private long nextOffset;
  private long sequence;
  private boolean beatInFlight;
  private long beatToken;
  private boolean leaving;
  private long confirmedNs;
  private boolean candidate = true;
  private boolean firstLook = true;
  private boolean left;
  private boolean stopped;
  private boolean storeOut;

  CoordinatorElection(ShardEventLoop loop, KeyedLogPort log, ShardSettings settings, Listener listener) {
    this.loop = loop;
    this.log = log;
    this.settings = settings;
    this.listener = listener;
  }

  /** Begins to follow the heartbeats. */
  void start() {
    loop.execute(this::load);
  }

  /** Returns the newest coordinator known, this host included, or null. */
  @Nullable CoordinatorRecord current() {
    return current;
  }

  /** Returns whether this host coordinates. */
  boolean isSelf() {
    return self != null;
  }

  /**
   * Returns until when the coordinator may renew leases.
   *
   * @return as nanoseconds of the loop
   */
  long authorityEndsNs() {
    return confirmedNs + TimeUnit.MILLISECONDS.toNanos(ShardSettings.AUTHORITY_MS);
  }

  /**
   * Asks others to take over if this host coordinates, and claims no more. It coordinates until one
   * of them has claimed, so that jobs don't wait for that.
   */
  void leave() {
    left = true;
    candidate = false;
    askForSuccessor("this host stops");
  }

  /**
   * Asks others to take over because this host has become slow, and claims nothing for a while.
   * Another host that is no better asks in turn.
   */
  void rest(String reason) {
    if (self == null || leaving) {
      return;
    }
    candidate = false;
    loop.schedule(REST_MS, this::endRest);
    askForSuccessor(reason);
  }

  private void endRest() {
    if (!left) {
      candidate = true;
      leaving = false;
    }
  }

  private void askForSuccessor(String reason) {
    CoordinatorRecord asking = self;
    if (asking == null || leaving) {
      return;
    }
    logger.atInfo().log(
        "ownership: Another host is asked to take over epoch %d: %s.", asking.epoch(), reason);
    leaving = true;
    beatToken++;
    beat(asking, beatToken);
  }

  /** Ends everything. */
  void stop() {
    stopped = true;
  }

  /** Gives up because a successor has been seen. */
  void giveUp(String reason) {
    if (self != null) {
      depose(reason);
      load();
    }
  }

  private void load() {
    if (stopped || self != null) {
      return;
    }
    loop.then(log.readNewest(KeyedStream.OWNERSHIP, null, ShardSettings.STORE_TIMEOUT_MS), this::onLoaded);
  }

  private void onLoaded(@Nullable Page page, @Nullable PlatformException failure) {
    if (page == null) {
      storeFailed(failure);
      loop.schedule(ShardSettings.STORE_RETRY_MS, this::load);
      return;
    }
    storeAnswered();
    nextOffset = page.endOffset();
    page.records().forEach(this::hear);
    CoordinatorRecord heard = current;
    boolean former = firstLook && heard != null && heard.hostId().equals(settings.hostId());
    firstLook = false;
    if (heard == null || former || heard.leaving()) {
      // Where this host coordinated in a former life, nobody does now.
      claimSoon();
    } else {
      follow();
    }
  }

  private void follow() {
    if (stopped || self != null) {
      return;
    }
    long waitMs = ShardSettings.SILENCE_MS;
    loop.then(
        log.read(KeyedStream.OWNERSHIP, nextOffset, waitMs, waitMs + ShardSettings.STORE_TIMEOUT_MS),
        this::onFollowed);
  }

  private void onFollowed(@Nullable Chunk chunk, @Nullable PlatformException failure) {
    if (failure != null && failure.type() == PlatformException.Type.TRIMMED) {
      load();
      return;
    }
    if (chunk == null) {
      storeFailed(failure);
      loop.schedule(ShardSettings.STORE_RETRY_MS, this::load);
      return;
    }
    storeAnswered();
    if (chunk.records().isEmpty()) {
      claimSoon();
      return;
    }
    for (StoredRecord stored : chunk.records()) {
      hear(stored);
      nextOffset = stored.offset() + 1;
    }
    CoordinatorRecord heard = current;
    if (heard != null && heard.leaving()) {
      claimSoon();
    } else {
      follow();
    }
  }

  private void hear(StoredRecord stored) {
    CoordinatorRecord heard = CoordinatorRecord.decode(stored.value());
    if (heard == null) {
      logger.atWarning().log("ownership: Unreadable record at offset %d.", stored.offset());
      return;
    }
    CoordinatorRecord before = current;
    if (before == null || heard.epoch() >= before.epoch()) {
      if (before == null || heard.epoch() > before.epoch()) {
        logger.atInfo().log(
            "ownership: Host %s coordinates, epoch %d, offset %d.",
            heard.hostId(), heard.epoch(), stored.offset());
      }
      current = heard;
    }
  }

  private void claimSoon() {
    if (!candidate) {
      loop.schedule(ShardSettings.HEARTBEAT_MS, this::follow);
      return;
    }
    loop.schedule(loop.random().nextInt(CLAIM_SPREAD_MS), this::claim);
  }

  private void claim() {
    if (stopped || self != null || !candidate) {
      return;
    }
    CoordinatorRecord before = current;
    long epoch = (before == null ? 0 : before.epoch()) + 1 + loop.random().nextInt(EPOCH_STEP);
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
      CoordinatorRecord claim, long sentNs, @Nullable Long offset, @Nullable PlatformException failure) {
    if (stopped) {
      return;
    }
    if (offset == null) {
      logger.atInfo().log(
          "ownership: Claim of epoch %d failed: %s",
          claim.epoch(), failure == null ? "no offset" : failure.getMessage());
      // A claim without an answer may have won; the record itself tells.
      recheck(claim, sentNs);
      return;
    }
    if (offset != nextOffset) {
      load();
      return;
    }
    win(claim, sentNs);
  }

  private void recheck(CoordinatorRecord claim, long sentNs) {
    loop.then(
        log.readNewest(KeyedStream.OWNERSHIP, null, ShardSettings.STORE_TIMEOUT_MS),
        (page, failure) -> {
          if (page == null) {
            loop.schedule(ShardSettings.STORE_RETRY_MS, () -> recheck(claim, sentNs));
            return;
          }
          CoordinatorRecord stored =
              page.records().isEmpty() ? null : CoordinatorRecord.decode(page.records().get(0).value());
          if (stored != null && stored.nonce().equals(claim.nonce())) {
            win(claim, sentNs);
          } else {
            onLoaded(page, null);
          }
        });
  }

  private void win(CoordinatorRecord claim, long sentNs) {
    logger.atInfo().log("ownership: This host coordinates, epoch %d.", claim.epoch());
    self = claim;
    current = claim;
    sequence = 1;
    confirmedNs = sentNs;
    leaving = !candidate;
    listener.onElected(claim);
    scheduleBeat(claim, ShardSettings.HEARTBEAT_MS);
  }

  private void scheduleBeat(CoordinatorRecord claim, long delayMs) {
    beatToken++;
    long token = beatToken;
    loop.schedule(delayMs, () -> beat(claim, token));
  }

  private void beat(CoordinatorRecord claim, long token) {
    if (stopped || self != claim || token != beatToken || beatInFlight) {
      return;
    }
    beatInFlight = true;
    long sentNs = loop.nowNs();
    boolean saysLeaving = leaving;
    loop.then(
        log.append(
            KeyedStream.OWNERSHIP,
            List.of(new Entry(KEY, (saysLeaving ? claim.asLeaving() : claim).encode())),
            new Writer(WRITER, claim.epoch(), sequence),
            KeyedLogPort.ANY_OFFSET,
            ShardSettings.HEARTBEAT_TIMEOUT_MS),
        (offset, failure) -> {
          beatInFlight = false;
          onBeaten(claim, sentNs, saysLeaving, failure);
        });
  }

  private void onBeaten(
      CoordinatorRecord claim, long sentNs, boolean saidLeaving, @Nullable PlatformException failure) {
    if (stopped || self != claim) {
      return;
    }
    if (failure == null) {
      storeAnswered();
      sequence++;
      confirmedNs = sentNs;
      scheduleBeat(claim, saidLeaving == leaving ? ShardSettings.HEARTBEAT_MS : 0);
      return;
    }
    if (failure.type() == PlatformException.Type.FENCED) {
      depose("another host took over: " + failure.getMessage());
      load();
      return;
    }
    storeFailed(failure);
    if (loop.nowNs() - authorityEndsNs() >= 0) {
      depose("no heartbeat confirmed for " + ShardSettings.AUTHORITY_MS + " ms");
      load();
      return;
    }
    scheduleBeat(claim, ShardSettings.STORE_RETRY_MS);
  }

  private void depose(String reason) {
    CoordinatorRecord was = self;
    self = null;
    leaving = false;
    if (was != null) {
      logger.atInfo().log("ownership: Epoch %d ends here: %s.", was.epoch(), reason);
      listener.onDeposed(reason);
    }
  }

  private void storeAnswered() {
    if (storeOut) {
      storeOut = false;
      logger.atInfo().log("ownership: Store answers again.");
    }
  }

  private void storeFailed(@Nullable PlatformException failure) {
    if (!storeOut) {
      storeOut = true;
      logger.atWarning().log(
          "ownership: Store does not answer: %s",
          failure == null ? "no reason" : failure.getMessage());
    }
  }
}
