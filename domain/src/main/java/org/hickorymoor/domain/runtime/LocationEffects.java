package org.hickorymoor.domain.runtime;

import org.hickorymoor.domain.runtime.RunTimeState.LocationFactors;

/**
 * Factors of the kind of a worker and of a remote rack, relative to the mean of all runs. Not
 * thread-safe.
 */
final class LocationEffects {

  private static final int MAX_KINDS = 32;

  /** Weight, in samples, with which a factor is shrunk towards 1: kinds rarely differ by much. */
  private static final double PRIOR_WEIGHT = 20;

  private final LruMap<String, DecayedMean> kinds = new LruMap<>(MAX_KINDS);
  private DecayedMean local = DecayedMean.EMPTY;
  private DecayedMean remote = DecayedMean.EMPTY;

  void restore(LocationFactors factors) {
    kinds.putAll(factors.kinds());
    local = factors.local();
    remote = factors.remote();
  }

  LocationFactors state() {
    return new LocationFactors(kinds, local, remote);
  }

  /** Returns the logarithm of the factor of a place. */
  double logFactor(RunLocation location) {
    return kindFactor(location.workerKind()) + (location.remoteRack() ? remoteFactor() : 0);
  }

  private double kindFactor(String kind) {
    DecayedMean errors = kinds.get(kind);
    return errors == null ? 0 : relative(errors);
  }

  private double remoteFactor() {
    return relative(remote);
  }

  private double relative(DecayedMean errors) {
    return errors.shrunkTo(local.mean(), PRIOR_WEIGHT) - local.mean();
  }

  /** Adds the error, as log(actual / predicted for a typical worker), of a run at a place. */
  void add(RunLocation location, double error) {
    if (location.remoteRack()) {
      remote = remote.add(error - kindFactor(location.workerKind()), 1);
      return;
    }
    local = local.add(error, 1);
    DecayedMean errors = kinds.getOrDefault(location.workerKind(), DecayedMean.EMPTY);
    kinds.put(location.workerKind(), errors.add(error, 1));
  }
}
