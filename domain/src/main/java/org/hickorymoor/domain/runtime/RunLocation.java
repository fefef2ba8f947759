package org.hickorymoor.domain.runtime;

/**
 * Properties of the place of a run that its run time depends on.
 *
 * @param workerKind label of the worker's kind; empty for a typical worker
 * @param remoteRack whether the run is in another rack than its input data
 */
public record RunLocation(String workerKind, boolean remoteRack) {

  /** A typical worker, in the rack of the input data. */
  public static final RunLocation TYPICAL = new RunLocation("", false);
}
