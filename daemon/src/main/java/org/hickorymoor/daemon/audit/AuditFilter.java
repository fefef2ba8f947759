package org.hickorymoor.daemon.audit;

import static com.google.common.base.Preconditions.checkArgument;

import org.jspecify.annotations.Nullable;

/**
 * Selects audit entries.
 *
 * @param who operator or component that made the change, or null for any
 * @param what kind of change, or null for any
 * @param target object of the change, or null for any
 * @param fromMs earliest wall-clock time, inclusive
 * @param limit maximum number of entries; the most recent matching ones are selected
 */
public record AuditFilter(
    @Nullable String who, @Nullable String what, @Nullable String target, long fromMs, int limit) {

  /** Checks the range. */
  public AuditFilter {
    checkArgument(limit >= 1, "limit must be at least 1, got %s", limit);
  }

  /**
   * Returns a filter that matches all entries.
   *
   * @param limit maximum number of entries
   * @return the filter
   */
  public static AuditFilter newest(int limit) {
    return new AuditFilter(null, null, null, Long.MIN_VALUE, limit);
  }

  boolean matches(AuditEntry entry) {
    return (who == null || who.equals(entry.who()))
        && (what == null || what.equals(entry.what()))
        && (target == null || target.equals(entry.target()))
        && entry.atMs() >= fromMs;
  }
}
