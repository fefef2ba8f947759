package org.hickorymoor.daemon.cellconfig;

import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import org.hickorymoor.daemon.peer.ByteBuffers;
import org.jspecify.annotations.Nullable;

/**
 * The newest record of the configuration and the version in force; neither ever goes back. Written
 * on the event loop thread, readable by any thread.
 *
 * @param <C> type of the parsed configuration
 */
final class ConfigVersions<C extends CellConfig> {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Offset before the first record of the stream. */
  static final long NO_OFFSET = -1;

  /** Where a record came from. */
  enum Source {
    STORE,
    PEER
  }

  /**
   * What this host knows.
   *
   * @param offset offset of the newest record, whether or not it is in force
   * @param record content of the record in force; empty if there is none
   * @param config the configuration in force, or null if there is none
   */
  record Snapshot<C>(long offset, ByteBuffer record, @Nullable C config) {}

  private final ConfigParser<C> parser;
  private volatile Snapshot<C> snapshot =
      new Snapshot<>(NO_OFFSET, ByteBuffer.allocate(0).asReadOnlyBuffer(), null);

  ConfigVersions(ConfigParser<C> parser) {
    this.parser = parser;
  }

  Snapshot<C> snapshot() {
    return snapshot;
  }

  /** Returns the number of the version in force, or -1 if there is none. */
  long version() {
    C config = snapshot.config();
    return config == null ? -1 : config.version();
  }

  /**
   * Puts a record into force if its version is higher than the one in force.
   *
   * @param offset offset of the record in the stream
   * @param content the record
   * @param source where the record came from
   * @return whether the record is in force now
   */
  boolean apply(long offset, ByteBuffer content, Source source) {
    Snapshot<C> current = snapshot;
    long newestOffset = Math.max(offset, current.offset());
    C parsed = parse(offset, content);
    C inForce = current.config();
    if (parsed == null || (inForce != null && parsed.version() <= inForce.version())) {
      snapshot = new Snapshot<>(newestOffset, current.record(), inForce);
      return false;
    }
    snapshot = new Snapshot<>(newestOffset, content.asReadOnlyBuffer(), parsed);
    logger.atInfo().log(
        "config: Applied version %d with %s from %s, offset %d.",
        parsed.version(),
        parsed.summary(),
        source == Source.STORE ? "the store" : "a peer",
        offset);
    return true;
  }

  private @Nullable C parse(long offset, ByteBuffer content) {
    try {
      return parser.parse(ByteBuffers.copyRemaining(content));
    } catch (InvalidConfigException e) {
      logger.atWarning().log(
          "config: Skipped invalid record at offset %d, keeping the previous version: %s.",
          offset, e.getMessage());
    } catch (RuntimeException e) {
      // Must not keep later records from being read. The message may quote the record, which holds
      // API keys.
      logger.atWarning().log(
          "config: Skipped record at offset %d that can't be handled (%s), keeping the previous"
              + " version.",
          offset, e.getClass().getName());
    }
    return null;
  }
}
