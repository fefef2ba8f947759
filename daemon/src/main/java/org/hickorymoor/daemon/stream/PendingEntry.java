package org.hickorymoor.daemon.stream;

import java.util.concurrent.CompletableFuture;

/**
 * An entry whose append is not confirmed yet.
 *
 * @param json the entry
 * @param sizeBytes size of the entry within a batch
 * @param deadlineMs monotonic time at which the result fails
 * @param result completed with the offset of a record that contains the entry
 */
record PendingEntry(String json, int sizeBytes, long deadlineMs, CompletableFuture<Long> result) {

  /** Deadline of an entry without a timeout. */
  static final long NO_DEADLINE_MS = Long.MAX_VALUE;

  boolean isExpired(long nowMs) {
    return deadlineMs != NO_DEADLINE_MS && nowMs >= deadlineMs;
  }
}
