package org.hickorymoor.standins.log;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.protocol.platform.LogRecord;
import org.hickorymoor.protocol.platform.ReadReply;

/** A stream of records with limited retention. Thread-safe. */
final class LogStream {

  private static final int MAX_READ_CHARS = 4 * 1024 * 1024;

  private final long retentionMs;
  private final int retentionRecords;
  private final Object lock = new Object();
  private final ArrayDeque<StoredRecord> stored = new ArrayDeque<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private long endOffset;

  private record StoredRecord(LogRecord record, long atMs) {}

  private record Waiter(long fromOffset, CompletableFuture<Void> arrived) {}

  LogStream(long retentionMs, int retentionRecords) {
    this.retentionMs = retentionMs;
    this.retentionRecords = retentionRecords;
  }

  long append(String data) {
    List<Waiter> arrived = new ArrayList<>();
    long offset;
    synchronized (lock) {
      offset = endOffset;
      stored.addLast(new StoredRecord(new LogRecord(offset, data), nowMs()));
      endOffset++;
      evictExpired();
      removeSatisfiedWaiters(offset, arrived);
    }
    arrived.forEach(waiter -> waiter.arrived().complete(null));
    return offset;
  }

  ReadReply read(long fromOffset, long maxRecords) {
    synchronized (lock) {
      evictExpired();
      List<LogRecord> records = new ArrayList<>();
      long chars = 0;
      for (StoredRecord entry : stored) {
        boolean full = records.size() >= maxRecords || chars >= MAX_READ_CHARS;
        if (full) {
          break;
        }
        if (entry.record().offset() >= fromOffset) {
          records.add(entry.record());
          chars += entry.record().data().length();
        }
      }
      return new ReadReply(endOffset - stored.size(), endOffset, records);
    }
  }

  /** Returns a future that completes when a record at the offset or later exists. */
  CompletableFuture<Void> arrival(long fromOffset) {
    synchronized (lock) {
      evictExpired();
      if (fromOffset < endOffset && !stored.isEmpty()) {
        return CompletableFuture.completedFuture(null);
      }
      Waiter waiter = new Waiter(fromOffset, new CompletableFuture<>());
      waiters.add(waiter);
      return waiter.arrived();
    }
  }

  void removeWaiter(CompletableFuture<Void> arrival) {
    synchronized (lock) {
      waiters.removeIf(waiter -> waiter.arrived() == arrival);
    }
  }

  private void removeSatisfiedWaiters(long offset, List<Waiter> arrived) {
    for (Waiter waiter : waiters) {
      if (waiter.fromOffset() <= offset) {
        arrived.add(waiter);
      }
    }
    waiters.removeAll(arrived);
  }

  private void evictExpired() {
    long oldestMs = nowMs() - retentionMs;
    while (!stored.isEmpty()
        && (stored.size() > retentionRecords || stored.getFirst().atMs() < oldestMs)) {
      stored.removeFirst();
    }
  }

  private static long nowMs() {
    return NANOSECONDS.toMillis(System.nanoTime());
  }
}
