package org.hickorymoor.daemon.journal;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Windows of the journal.
 *
 * @param dedupeWindowMs time for which a key that must run at most once is remembered
 * @param logRetentionMs time for which the log is assumed to keep records
 */
public record JournalSettings(long dedupeWindowMs, long logRetentionMs) {

  /** Checks the ranges. */
  public JournalSettings {
    checkArgument(dedupeWindowMs > 0, "dedupeWindowMs must be positive, got %s", dedupeWindowMs);
    checkArgument(logRetentionMs > 0, "logRetentionMs must be positive, got %s", logRetentionMs);
  }
}
