package org.hickorymoor.domain.workload;

/** How strongly the crash of a worker speaks against a run that was starting there. */
public enum CrashEvidence {
  /** The run may not have been on the worker when it crashed. */
  UNCERTAIN(0),
  /** The worker crashed during the startup of the run. */
  DURING_STARTUP(1),
  /** The worker crashed at once when it started the run, which is rarely a coincidence. */
  IMMEDIATE(2);

  private final int weight;

  CrashEvidence(int weight) {
    this.weight = weight;
  }

  /** Returns whether the run was certainly on the worker when it crashed. */
  public boolean isConfirmed() {
    return weight > 0;
  }

  /** Returns what the crash adds to the evidence against the task. */
  int weight() {
    return weight;
  }
}
