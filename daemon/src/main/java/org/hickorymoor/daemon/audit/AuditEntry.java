package org.hickorymoor.daemon.audit;

import static java.util.Objects.requireNonNull;

/**
 * A change or an attempted change.
 *
 * @param atMs wall-clock time of the change
 * @param who operator or component that made the change
 * @param what kind of change, such as {@code config.publish}
 * @param target object of the change, such as the id of a worker or a job
 * @param before previous value, such as a version; empty if there was none
 * @param after new value; empty if there is none
 * @param outcome result of the change, such as {@code accepted} or {@code conflict}
 */
public record AuditEntry(
    long atMs,
    String who,
    String what,
    String target,
    String before,
    String after,
    String outcome) {

  /** Rejects null components. */
  public AuditEntry {
    requireNonNull(who, "who");
    requireNonNull(what, "what");
    requireNonNull(target, "target");
    requireNonNull(before, "before");
    requireNonNull(after, "after");
    requireNonNull(outcome, "outcome");
  }
}
