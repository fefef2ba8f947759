package org.hickorymoor.daemon.stream;

import static java.util.Objects.requireNonNull;

import com.google.common.flogger.FluentLogger;
import com.google.gson.JsonElement;
import org.hickorymoor.protocol.platform.LogRecord;

/**
 * Delivers the entries of each batch once, dropping duplicate copies of a batch.
 *
 * <pre>{@code
 * new LogFollower(context, "audit", 0, settings, new BatchListener(entryListener));
 * }</pre>
 *
 * <p>A record that is not a valid batch is logged and skipped. Called by one thread at a time, like
 * every {@link StreamListener}.
 */
public final class BatchListener implements StreamListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EntryListener listener;
  private final BatchDeduplicator deduplicator = new BatchDeduplicator();

  /**
   * Creates the listener.
   *
   * @param listener receives the entries
   */
  public BatchListener(EntryListener listener) {
    this.listener = requireNonNull(listener, "listener");
  }

  @Override
  public void onRecord(LogRecord record) {
    Batch batch;
    try {
      batch = BatchCodec.decode(record.data());
    } catch (MalformedBatchException e) {
      logger.atWarning().log(
          "stream: skipping the record at offset %s: %s", record.offset(), e.getMessage());
      return;
    }
    if (!deduplicator.addIfNew(batch.id())) {
      return;
    }
    int index = 0;
    for (JsonElement entry : batch.entries()) {
      listener.onEntry(new EntryPosition(record.offset(), index), entry);
      index++;
    }
  }

  @Override
  public void onGap(StreamGap gap) {
    listener.onGap(gap);
  }

  @Override
  public void onStatus(FollowerStatus status) {
    listener.onStatus(status);
  }
}
