package org.hickorymoor.daemon.journal;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Retention settings of the journal.
 *
 * @param dedupeWindowMs time for which the key of a job that must run at most once is remembered
 * @param logRetentionMs time for which the log is assumed to retain records
 */
public record JournalSettings(long dedupeWindowMs, long logRetentionMs) {

  /** Checks that both times are positive. */
  public JournalSettings {
    checkArgument(dedupeWindowMs > 0, "dedupeWindowMs must be positive, got %s", dedupeWindowMs);
    checkArgument(logRetentionMs > 0, "logRetentionMs must be positive, got %s", logRetentionMs);
  }
}
