package org.hickorymoor.daemon.audit;

import static java.util.Objects.requireNonNull;

/**
 * One change, or an attempt at one.
 *
 * @param atMs wall-clock time
 * @param who operator, or the part of the system that made the change
 * @param what kind of change, such as {@code config.publish}
 * @param target what was changed, such as the name of a worker or a job
 * @param before value before, such as a version; empty if there was none
 * @param after value after; empty if there is none
 * @param outcome what became of it, such as {@code accepted} or {@code conflict}
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
