package org.hickorymoor.daemon.stream;

import java.util.ArrayList;
import java.util.List;

/** A batch under way. Not safe for use by several threads. */
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

  /** Returns the record, the same at every attempt: only the first copy of an id counts. */
  String data() {
    return data;
  }

  /** Returns the entries whose callers have not been answered. */
  List<PendingEntry> unresolved() {
    return List.copyOf(unresolved);
  }

  /** Returns the size of the record that its entries make. */
  long sizeBytes() {
    return sizeBytes;
  }

  boolean mayBeInLog() {
    return mayBeInLog;
  }

  void markMaybeAppended() {
    mayBeInLog = true;
  }

  /** Takes out the entries whose deadline has passed; they stay in the record. */
  List<PendingEntry> takeExpired(long nowMs) {
    List<PendingEntry> expired =
        unresolved.stream().filter(entry -> entry.isExpired(nowMs)).toList();
    unresolved.removeAll(expired);
    return expired;
  }
}
