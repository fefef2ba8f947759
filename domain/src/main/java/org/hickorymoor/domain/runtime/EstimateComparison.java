package org.hickorymoor.domain.runtime;

/**
 * Whether the run times learned for a queue have proven better than its callers' estimates.
 *
 * @param finished number of finished tasks, at most {@link #MIN_FINISHED}
 * @param compared number of these with an estimate, at most {@link #MIN_FINISHED}
 * @param learned |log(actual / predicted)| of the learned run times
 * @param declared |log(actual / predicted)| of the estimates
 * @param scaled the same of the estimates times the common slowness of the workers
 */
public record EstimateComparison(
    int finished, int compared, DecayedMean learned, DecayedMean declared, DecayedMean scaled) {

  /** No finished tasks. */
  public static final EstimateComparison EMPTY =
      new EstimateComparison(0, 0, DecayedMean.EMPTY, DecayedMean.EMPTY, DecayedMean.EMPTY);

  /** Fewer tasks say nothing: their mean errors differ by 10 % by chance. */
  static final int MIN_FINISHED = 20;

  private static final double MAX_ERROR_SHARE = 0.9;

  /** Checks the ranges, as comparisons are read from stored records. */
  public EstimateComparison {
    if (compared < 0 || compared > finished || finished > MIN_FINISHED) {
      throw new IllegalArgumentException("comparison out of range: " + compared + "/" + finished);
    }
  }

  EstimateComparison add(PredictionErrors errors) {
    int total = Math.min(MIN_FINISHED, finished + 1);
    if (!errors.hasEstimate()) {
      return new EstimateComparison(total, compared, learned, declared, scaled);
    }
    return new EstimateComparison(
        total,
        Math.min(MIN_FINISHED, compared + 1),
        learned.add(errors.learned(), 1),
        declared.add(errors.declared(), 1),
        scaled.add(errors.scaled(), 1));
  }

  /** Returns whether learned run times are to be used for runs with or without an estimate. */
  boolean isLearnedBetter(boolean hasEstimate) {
    if (!hasEstimate) {
      return finished >= MIN_FINISHED;
    }
    double estimateError = Math.min(declared.mean(), scaled.mean());
    return compared >= MIN_FINISHED && learned.mean() < MAX_ERROR_SHARE * estimateError;
  }
}
