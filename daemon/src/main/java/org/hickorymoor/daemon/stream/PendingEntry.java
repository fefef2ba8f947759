package org.hickorymoor.daemon.stream;

import java.util.concurrent.CompletableFuture;

/**
 * An entry that waits to stand in the log.
 *
 * @param json the entry
 * @param sizeBytes its size in a batch
 * @param deadlineMs monotonic time at which its caller is told that it failed
 * @param result completes once
 */
record PendingEntry(String json, int sizeBytes, long deadlineMs, CompletableFuture<Long> result) {

  /** Deadline of an entry that waits as long as it takes. */
  static final long NO_DEADLINE_MS = Long.MAX_VALUE;

  boolean isExpired(long nowMs) {
    return deadlineMs != NO_DEADLINE_MS && nowMs >= deadlineMs;
  }
}
