package org.hickorymoor.daemon.stream;

import java.util.ArrayList;
import java.util.List;

/** A batch under way. Not safe for use by several threads. */
final class PendingBatch {

  private final String data;
  private final List<PendingEntry> waiting;
  private final long sizeBytes;
  private boolean mayStandInLog;

  PendingBatch(BatchId id, List<PendingEntry> entries) {
    this.data = BatchCodec.encode(id, entries.stream().map(PendingEntry::json).toList());
    this.sizeBytes = entries.stream().mapToLong(PendingEntry::sizeBytes).sum();
    this.waiting = new ArrayList<>(entries);
  }

  /** Returns the record, the same at every attempt: only the first copy of an id counts. */
  String data() {
    return data;
  }

  /** Returns the entries whose callers have not been answered. */
  List<PendingEntry> waiting() {
    return List.copyOf(waiting);
  }

  /** Returns the size of the record that its entries make. */
  long sizeBytes() {
    return sizeBytes;
  }

  boolean mayStandInLog() {
    return mayStandInLog;
  }

  void markInDoubt() {
    mayStandInLog = true;
  }

  /** Takes out the entries whose deadline has passed; they stay in the record. */
  List<PendingEntry> takeExpired(long nowMs) {
    List<PendingEntry> expired = waiting.stream().filter(entry -> entry.expiredAt(nowMs)).toList();
    waiting.removeAll(expired);
    return expired;
  }
}
