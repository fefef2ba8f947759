package org.hickorymoor.daemon.stream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** FIFO queue of entries that tracks their total size. Not safe for use by several threads. */
final class EntryQueue {

  private final Deque<PendingEntry> entries = new ArrayDeque<>();
  private long sizeBytes;

  long sizeBytes() {
    return sizeBytes;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  void add(PendingEntry entry) {
    entries.addLast(entry);
    sizeBytes += entry.sizeBytes();
  }

  /** Inserts entries at the head of the queue, in their original order. */
  void requeue(List<PendingEntry> taken) {
    for (int i = taken.size() - 1; i >= 0; i--) {
      entries.addFirst(taken.get(i));
      sizeBytes += taken.get(i).sizeBytes();
    }
  }

  /** Removes entries from the head up to the given total size, but at least one if any. */
  List<PendingEntry> take(int maxBytes) {
    List<PendingEntry> taken = new ArrayList<>();
    int takenBytes = 0;
    while (!entries.isEmpty()) {
      PendingEntry next = entries.getFirst();
      if (!taken.isEmpty() && takenBytes + next.sizeBytes() > maxBytes) {
        break;
      }
      taken.add(entries.removeFirst());
      takenBytes += next.sizeBytes();
      sizeBytes -= next.sizeBytes();
    }
    return taken;
  }

  /** Removes and returns the entries whose deadline has passed. */
  List<PendingEntry> takeExpired(long nowMs) {
    List<PendingEntry> expired = new ArrayList<>();
    Iterator<PendingEntry> all = entries.iterator();
    while (all.hasNext()) {
      PendingEntry entry = all.next();
      if (entry.isExpired(nowMs)) {
        all.remove();
        expired.add(entry);
        sizeBytes -= entry.sizeBytes();
      }
    }
    return expired;
  }

  /** Removes and returns all entries. */
  List<PendingEntry> takeAll() {
    List<PendingEntry> all = List.copyOf(entries);
    entries.clear();
    sizeBytes = 0;
    return all;
  }
}
