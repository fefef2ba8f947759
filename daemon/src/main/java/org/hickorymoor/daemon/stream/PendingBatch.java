package org.hickorymoor.daemon.stream;

import java.util.ArrayList;
import java.util.List;

/** A batch whose append is not confirmed yet. Not safe for use by several threads. */
final class PendingBatch {

  private final String data;
  private final List<PendingEntry> unresolved;
  private final long sizeBytes;
  private boolean mayBeInLog;

  PendingBatch(BatchId id, List<PendingEntry> entries) {
    this.data = BatchCodec.encode(id, entries.stream().map(PendingEntry::json).toList());
    this.sizeBytes = entries.stream().mapToLong(PendingEntry::sizeBytes).sum();
    this.unresolved = new ArrayList<>(entries);
  }

  /** Returns the record, which is the same for every attempt since readers drop later copies. */
  String data() {
    return data;
  }

  /** Returns the entries whose futures are not completed. */
  List<PendingEntry> unresolved() {
    return List.copyOf(unresolved);
  }

  /** Returns the total size of the entries that the batch was created with. */
  long sizeBytes() {
    return sizeBytes;
  }

  boolean mayBeInLog() {
    return mayBeInLog;
  }

  void markMaybeAppended() {
    mayBeInLog = true;
  }

  /** Removes and returns the entries whose deadline has passed; they remain in the record. */
  List<PendingEntry> takeExpired(long nowMs) {
    List<PendingEntry> expired =
        unresolved.stream().filter(entry -> entry.isExpired(nowMs)).toList();
    unresolved.removeAll(expired);
    return expired;
  }
}
