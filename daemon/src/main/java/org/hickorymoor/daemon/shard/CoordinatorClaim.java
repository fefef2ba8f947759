package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.UUID;
import java.util.function.Consumer;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedLogPort.Page;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedLogPort.Writer;
import org.hickorymoor.daemon.port.KeyedStream;

/**
 * One claim of the next epoch: an append that succeeds only if the stream ends where expected. Not
 * thread-safe; confined to the event loop thread.
 */
final class CoordinatorClaim {

  /** Receives the offset of a claim that has won. */
  @FunctionalInterface
  interface WinListener {
    void onWon(CoordinatorClaim claim, long offset);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * A claim advances the epoch by a random step up to this value, so that simultaneous claims
   * differ: the store would take the second of two with one epoch for a repeat of the first, and
   * confirm both.
   */
  private static final int MAX_EPOCH_STEP = 1 << 30;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final CoordinatorRecord record;
  private final long expectedEnd;
  private final long sentNs;

  /**
   * Creates a claim.
   *
   * @param previousEpoch newest known epoch; 0 if there is none
   * @param expectedEnd offset at which the stream ends unless there is a newer record
   */
  CoordinatorClaim(
      ShardEventLoop loop,
      KeyedLogPort log,
      ShardSettings settings,
      long previousEpoch,
      long expectedEnd) {
    this.loop = loop;
    this.log = log;
    this.expectedEnd = expectedEnd;
    this.sentNs = loop.nowNs();
    this.record =
        new CoordinatorRecord(
            previousEpoch + 1 + loop.random().nextInt(MAX_EPOCH_STEP),
            settings.hostId(),
            settings.peerAddress(),
            UUID.randomUUID().toString(),
            false,
            loop.nowMs());
  }

  CoordinatorRecord record() {
    return record;
  }

  /** Returns when the claim was made, on the clock of {@link ShardEventLoop#nowNs}. */
  long sentNs() {
    return sentNs;
  }

  /**
   * Sends the claim.
   *
   * @param onWon called if the claim is stored
   * @param onLost called with the newest record if it is not
   */
  void send(WinListener onWon, Consumer<Page> onLost) {
    loop.then(
        log.append(
            KeyedStream.OWNERSHIP,
            List.of(new Entry(CoordinatorRecord.KEY, record.encode())),
            new Writer(CoordinatorRecord.WRITER, record.epoch(), 0),
            expectedEnd,
            ShardSettings.STORE_TIMEOUT_MS),
        (offset, failure) -> {
          if (offset != null && offset == expectedEnd) {
            onWon.onWon(this, offset);
            return;
          }
          logger.atInfo().log(
              "ownership: Claim of epoch %d failed: %s",
              record.epoch(), failure == null ? "stored at another offset" : failure.getMessage());
          // A claim without an answer may have succeeded; the stored record decides.
          verify(onWon, onLost);
        });
  }

  private void verify(WinListener onWon, Consumer<Page> onLost) {
    loop.then(
        log.readNewest(KeyedStream.OWNERSHIP, null, ShardSettings.STORE_TIMEOUT_MS),
        (page, failure) -> {
          if (page == null) {
            loop.schedule(ShardSettings.STORE_RETRY_MS, () -> verify(onWon, onLost));
            return;
          }
          StoredRecord newest = page.records().isEmpty() ? null : page.records().get(0);
          CoordinatorRecord stored =
              newest == null ? null : CoordinatorRecord.decode(newest.value());
          if (newest != null && stored != null && stored.nonce().equals(record.nonce())) {
            onWon.onWon(this, newest.offset());
          } else {
            onLost.accept(page);
          }
        });
  }
}
