package org.hickorymoor.domain.runtime;

import java.util.List;
import java.util.Map;

/**
 * What a model has learned, without the levels of single steps.
 *
 * @param all all runs
 * @param queues state of each queue, the most recently used first
 * @param images state of each image, the most recently used first
 * @param factors factors of places
 */
public record RunTimeState(
    Level all, List<QueueState> queues, List<ImageState> images, LocationFactors factors) {

  /** Makes defensive copies. */
  public RunTimeState {
    queues = List.copyOf(queues);
    images = List.copyOf(images);
  }

  /**
   * Samples of a level.
   *
   * @param estimated samples with an estimate
   * @param unestimated samples without one
   */
  public record Level(LogMoments estimated, LogMoments unestimated) {

    /** No samples. */
    public static final Level EMPTY = new Level(LogMoments.EMPTY, LogMoments.EMPTY);

    LogMoments of(boolean hasEstimate) {
      return hasEstimate ? estimated : unestimated;
    }

    Level add(boolean hasEstimate, double x, double y, double weight) {
      return hasEstimate
          ? new Level(estimated.add(x, y, weight), unestimated)
          : new Level(estimated, unestimated.add(x, y, weight));
    }
  }

  /**
   * State of a queue.
   *
   * @param queue name of the queue
   * @param level samples of the queue
   * @param comparison learned run times against estimates
   * @param stepCorrelation product of a standardized error and the mean one of the tasks of the
   *     same step that finished before
   */
  public record QueueState(
      String queue, Level level, EstimateComparison comparison, DecayedMean stepCorrelation) {}

  /**
   * State of an image.
   *
   * @param queue name of the queue
   * @param image name of the image
   * @param level samples of the image within the queue
   */
  public record ImageState(String queue, String image, Level level) {}

  /**
   * Errors by place, from which the factors of places follow.
   *
   * @param kinds errors by kind of worker
   * @param local errors of runs that are not in a remote rack
   * @param remote errors of runs in a remote rack
   */
  public record LocationFactors(
      Map<String, DecayedMean> kinds, DecayedMean local, DecayedMean remote) {

    /** No samples. */
    public static final LocationFactors EMPTY =
        new LocationFactors(Map.of(), DecayedMean.EMPTY, DecayedMean.EMPTY);

    /** Makes a defensive copy. */
    public LocationFactors {
      kinds = Map.copyOf(kinds);
    }
  }
}
