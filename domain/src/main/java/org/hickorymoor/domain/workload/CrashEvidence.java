package org.hickorymoor.domain.workload;

/** How strongly the crash of a worker speaks against a run that was starting there. */
public enum CrashEvidence {
  /** The run may not have been on the worker when it crashed. */
  UNCERTAIN(false, 0),
  /**
   * The worker answered right before it got the start request and not after, or nothing but its
   * absence shows that it has crashed.
   */
  LIKELY(false, 1),
  /** The worker crashed during the startup of the run. */
  DURING_STARTUP(true, 1),
  /** The worker crashed at once when it started the run, which is rarely a coincidence. */
  IMMEDIATE(true, 2);

  private final boolean confirmed;
  private final int weight;

  CrashEvidence(boolean confirmed, int weight) {
    this.confirmed = confirmed;
    this.weight = weight;
  }

  /** Returns whether the run was certainly on the worker when it crashed. */
  public boolean isConfirmed() {
    return confirmed;
  }

  /** Returns what the crash adds to the evidence against the task. */
  int weight() {
    return weight;
  }
}
