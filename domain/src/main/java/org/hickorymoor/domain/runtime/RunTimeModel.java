package org.hickorymoor.domain.runtime;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.runtime.RunTimeState.ImageState;
import org.hickorymoor.domain.runtime.RunTimeState.Level;
import org.hickorymoor.domain.runtime.RunTimeState.QueueState;

/**
 * Predicts run times from finished runs and the callers' estimates.
 *
 * <p>Levels become more specific: all runs, the queue, the image within the queue, the step of the
 * job. Each predicts the logarithm of the run time from that of the estimate by regression, drawn
 * to the prediction of the level before; a step shifts the prediction of its image. Samples decay
 * to half their weight after 200 samples of a level. Not thread-safe.
 */
public final class RunTimeModel {

  /** Maximum number of images that are kept. */
  public static final int MAX_IMAGES = 500;

  private static final int MAX_QUEUES = 200;
  private static final int MAX_STEPS = 4_096;

  /** Correlation of the errors of the tasks of a step that is assumed at first. */
  private static final double STEP_CORRELATION = 0.2;

  /** Weight of that assumption, in samples. */
  private static final double STEP_CORRELATION_WEIGHT = 20;

  private static final double MIN_CORRELATION = 0.02;
  private static final double MAX_CORRELATION = 0.95;

  /** A run that was cut short before this share of the runs would have ended tells nothing. */
  private static final double MIN_CENSORED_SHARE = 0.05;

  /**
   * Errors beyond this many standard deviations count as that many, so that one straggler doesn't
   * move an image that is known well.
   */
  private static final double MAX_DEVIATIONS = 2.5;

  /** Errors up to a factor of 2 always count in full. */
  private static final double MIN_CLIPPED_ERROR = Math.log(2);

  /** Below this weight an image is not known well enough to tell stragglers. */
  private static final double KNOWN_WEIGHT = 10;

  /** Change of an image's prediction after which cached predictions are outdated: 3 %. */
  private static final double MAX_DRIFT = 0.03;

  /**
   * A factor up to this that all estimates have in common is the speed of the workers rather than
   * an error. It changes no order, while it would move all objectives: in the replay with exact
   * estimates and workers 1.0 to 1.3 times as slow, 0.3 % fewer jobs were on time.
   */
  private static final double MAX_COMMON_SLOWNESS = Math.log(1.3);

  private record ImageKey(String queue, String image) {}

  private record StepKey(String jobId, int stepIndex) {}

  private static final class Image {
    private Level level = Level.EMPTY;
    private double drift;
  }

  private final Map<String, QueueState> queues = new LruMap<>(MAX_QUEUES);
  private final Map<ImageKey, Image> images = new LruMap<>(MAX_IMAGES);
  private final Map<StepKey, DecayedMean> steps = new LruMap<>(MAX_STEPS);
  private final LocationEffects effects = new LocationEffects();
  private Level all = Level.EMPTY;
  private long revision;

  private QueueState queue(RunDescriptor run) {
    QueueState queue = queues.get(run.queue());
    return queue != null
        ? queue
        : new QueueState(run.queue(), Level.EMPTY, EstimateComparison.EMPTY, DecayedMean.EMPTY);
  }

  /** Returns a number that rises when predictions have changed by more than 3 %. */
  public long revision() {
    return revision;
  }

  /** Returns the number of images that are known. */
  public int images() {
    return images.size();
  }

  /** Returns the number of queues whose learned run times are better than the estimates. */
  public int queuesLearned() {
    return (int)
        queues.values().stream().filter(queue -> queue.comparison().isLearnedBetter(true)).count();
  }

  /**
   * Returns whether the learned run times of a queue have proven better than the estimates of its
   * callers; without an estimate, whether enough runs have finished.
   */
  public boolean isLearnedBetter(RunDescriptor run) {
    QueueState queue = queues.get(run.queue());
    return queue != null && queue.comparison().isLearnedBetter(run.hasEstimate());
  }

  /** Returns the predicted run time on a worker. */
  public RunTimeDistribution predict(RunDescriptor run, RunLocation location) {
    LogFit fit = imageFit(run);
    double correlation = stepCorrelation(queue(run));
    DecayedMean step = steps.getOrDefault(stepKey(run), DecayedMean.EMPTY);
    double mean = fit.predict(logEstimate(run)) + stepShift(step, correlation);
    double known = step.weight() / (step.weight() + priorTasks(correlation));
    double variance = fit.variance() * (1 - correlation * known);
    return RunTimeDistribution.ofLogMoments(mean + effects.logFactor(location), variance);
  }

  private LogFit imageFit(RunDescriptor run) {
    boolean estimated = run.hasEstimate();
    LogFit fit = all.of(estimated).fit(estimated ? LogFit.OF_ESTIMATE : LogFit.OF_UNKNOWN);
    QueueState queue = queues.get(run.queue());
    if (queue != null) {
      fit = queue.level().of(estimated).fit(fit);
    }
    Image image = images.get(imageKey(run));
    return image == null ? fit : image.level.of(estimated).fit(fit);
  }

  private static double logEstimate(RunDescriptor run) {
    return run.hasEstimate() ? Math.log(run.estimatedMs()) : 0;
  }

  private static ImageKey imageKey(RunDescriptor run) {
    return new ImageKey(run.queue(), run.image());
  }

  private static StepKey stepKey(RunDescriptor run) {
    return new StepKey(run.jobId(), run.stepIndex());
  }

  private static double stepCorrelation(QueueState queue) {
    double correlation =
        queue.stepCorrelation().shrunkTo(STEP_CORRELATION, STEP_CORRELATION_WEIGHT);
    return Math.min(MAX_CORRELATION, Math.max(MIN_CORRELATION, correlation));
  }

  /** Returns how many tasks of a step weigh as much as the prediction of its image. */
  private static double priorTasks(double correlation) {
    return (1 - correlation) / correlation;
  }

  private static double stepShift(DecayedMean step, double correlation) {
    return step.shrunkTo(0, priorTasks(correlation));
  }

  /**
   * Learns from a run that has succeeded.
   *
   * @param location where it ran
   * @param runTimeMs how long it ran
   * @return errors of what was predicted before, without the step's own tasks
   */
  public PredictionErrors learnFinished(RunDescriptor run, RunLocation location, long runTimeMs) {
    double logActual = Math.log(Math.max(1, runTimeMs));
    double predicted = imageFit(run).predict(logEstimate(run));
    PredictionErrors errors = errors(run, logActual, predicted);
    QueueState queue = queue(run);
    EstimateComparison comparison = queue.comparison().add(errors);
    if (comparison.isLearnedBetter(true) != queue.comparison().isLearnedBetter(true)
        || comparison.isLearnedBetter(false) != queue.comparison().isLearnedBetter(false)) {
      revision++;
    }
    queues.put(
        run.queue(),
        new QueueState(run.queue(), queue.level(), comparison, queue.stepCorrelation()));
    double typical = logActual - effects.logFactor(location);
    Image image = images.get(imageKey(run));
    if (image != null && image.level.of(run.hasEstimate()).weight() >= KNOWN_WEIGHT) {
      double error = logActual - predict(run, RunLocation.TYPICAL).logMedianMs();
      effects.add(location, clip(error, predict(run, location)));
    }
    add(run, typical);
    return errors;
  }

  private PredictionErrors errors(RunDescriptor run, double logActual, double predicted) {
    double learned = Math.abs(logActual - predicted);
    if (!run.hasEstimate()) {
      return new PredictionErrors(learned, -1, -1);
    }
    double declaredError = logActual - logEstimate(run);
    double slowness = all.estimated().meanY() - all.estimated().meanX();
    double scaledError = declaredError - Math.max(0, Math.min(MAX_COMMON_SLOWNESS, slowness));
    return new PredictionErrors(learned, Math.abs(declaredError), Math.abs(scaledError));
  }

  /**
   * Learns from a run that was cut short, which would have lasted at least so long.
   *
   * @param location where it ran
   * @param elapsedMs how long it had run
   */
  public void learnCutShort(RunDescriptor run, RunLocation location, long elapsedMs) {
    double logElapsed = Math.log(Math.max(1, elapsedMs)) - effects.logFactor(location);
    RunTimeDistribution distribution = predict(run, RunLocation.TYPICAL);
    if (1 - distribution.logSurvival(logElapsed) >= MIN_CENSORED_SHARE) {
      add(run, distribution.logQuantileAfter(logElapsed, 0.5));
    }
  }

  private static double clip(double error, RunTimeDistribution distribution) {
    double limit = Math.max(MIN_CLIPPED_ERROR, MAX_DEVIATIONS * distribution.logDeviation());
    return Math.max(-limit, Math.min(limit, error));
  }

  private void add(RunDescriptor run, double logMs) {
    boolean estimated = run.hasEstimate();
    double x = logEstimate(run);
    LogFit before = imageFit(run);
    final double beforeMean = before.predict(x);
    final QueueState queue = queue(run);
    Image image = images.computeIfAbsent(imageKey(run), unused -> new Image());
    boolean known = image.level.of(estimated).weight() >= KNOWN_WEIGHT;
    RunTimeDistribution typical = RunTimeDistribution.ofLogMoments(beforeMean, before.variance());
    double error = clip(logMs - beforeMean, typical);
    double y = known ? beforeMean + error : logMs;

    // The tasks of a step repeat each other; together they weigh as much as independent runs would.
    double correlation = stepCorrelation(queue);
    DecayedMean step = steps.getOrDefault(stepKey(run), DecayedMean.EMPTY);
    double levelWeight = 1 / (1 + step.weight() * correlation);
    DecayedMean observed = queue.stepCorrelation();
    if (step.weight() >= 1 && known) {
      observed = observed.add(error * step.mean() / before.variance(), 1);
    }
    steps.put(stepKey(run), step.add(error, 1));
    all = all.add(estimated, x, y, levelWeight);
    queues.put(
        run.queue(),
        new QueueState(
            run.queue(),
            queue.level().add(estimated, x, y, levelWeight),
            queue.comparison(),
            observed));
    image.level = image.level.add(estimated, x, y, levelWeight);
    image.drift += imageFit(run).predict(x) - beforeMean;
    if (Math.abs(image.drift) > MAX_DRIFT) {
      image.drift = 0;
      revision++;
    }
  }

  /** Returns what has been learned, for a successor. */
  public RunTimeState state() {
    List<ImageState> states = new ArrayList<>();
    images.forEach(
        (key, image) -> states.add(new ImageState(key.queue(), key.image(), image.level)));
    Collections.reverse(states);
    List<QueueState> queueStates = new ArrayList<>(queues.values());
    Collections.reverse(queueStates);
    return new RunTimeState(all, queueStates, states, effects.state());
  }

  /**
   * Replaces everything by what another model has learned.
   *
   * @param state that of the other model
   */
  public void restore(RunTimeState state) {
    queues.clear();
    images.clear();
    steps.clear();
    revision++;
    all = state.all();
    List<QueueState> leastRecentQueues = new ArrayList<>(state.queues());
    Collections.reverse(leastRecentQueues);
    leastRecentQueues.forEach(queue -> queues.put(queue.queue(), queue));
    List<ImageState> leastRecentFirst = new ArrayList<>(state.images());
    Collections.reverse(leastRecentFirst);
    for (ImageState stored : leastRecentFirst) {
      Image image = new Image();
      image.level = stored.level();
      images.put(new ImageKey(stored.queue(), stored.image()), image);
    }
    effects.restore(state.factors());
  }
}
