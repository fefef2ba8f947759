package org.hickorymoor.domain.runtime;

/**
 * Errors of the predictions of a finished run, as |log(actual / predicted)|.
 *
 * @param learned error of the learned run time
 * @param declared error of the caller's estimate; negative without one
 * @param scaled error of the estimate times the common slowness of the workers; negative without
 *     one
 */
public record PredictionErrors(double learned, double declared, double scaled) {

  /** Returns whether the caller gave an estimate. */
  public boolean hasEstimate() {
    return declared >= 0;
  }
}
