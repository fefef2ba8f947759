package org.hickorymoor.domain.policy;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.TaskId;
import org.jspecify.annotations.Nullable;

/** Chooses the worker with the best score for a task, by the weights in the settings. */
final class Placement {

  /** Lets spreading outweigh the configured weights, which add up to a few units at most. */
  private static final double SPREAD_WEIGHT = 1_000;

  /** After a failure, a proven healthy worker shows best whether the job itself is at fault. */
  private static final double HEALTHY_WORKER_WEIGHT = 100;

  private final PolicyState state;

  Placement(PolicyState state) {
    this.state = state;
  }

  /**
   * Starts one task of a job on the best worker.
   *
   * @return the started attempt, or null if the task currently fits on no worker
   */
  @Nullable RunningAttempt startOne(QueuedJob job, long nowMs) {
    WorkerLoad worker = choose(job, nowMs);
    return worker == null ? null : start(job.waiting().iterator().next(), job, worker, nowMs);
  }

  /**
   * Starts all waiting tasks of a job, or none.
   *
   * @return the started attempts; empty if they do not all fit currently
   */
  List<RunningAttempt> startAll(QueuedJob job, long nowMs) {
    List<RunningAttempt> started = new ArrayList<>();
    if (!mayFitAll(job, nowMs)) {
      return started;
    }
    for (TaskId task : job.waiting()) {
      WorkerLoad worker = choose(job, nowMs);
      if (worker == null) {
        started.forEach(attempt -> state.allocations.release(attempt.task));
        return List.of();
      }
      started.add(start(task, job, worker, nowMs));
    }
    return started;
  }

  /** Returns the best worker for the next task of a job, or null if it currently fits on none. */
  @Nullable WorkerLoad choose(QueuedJob job, long nowMs) {
    Resources expected = state.expectedDemand(job);
    WorkerLoad best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (WorkerLoad worker : state.allocations.workers()) {
      if (!state.hasRoom(worker, job, expected) || !state.eligible(worker, job, nowMs)) {
        continue;
      }
      if (job.avoidsWorker(worker.workerId)) {
        continue;
      }
      double score = score(worker, job);
      if (score > bestScore) {
        best = worker;
        bestScore = score;
      }
    }
    return best;
  }

  private boolean mayFitAll(QueuedJob job, long nowMs) {
    long count = 0;
    for (WorkerLoad worker : state.allocations.workers()) {
      if (state.eligible(worker, job, nowMs)) {
        count += ResourceMath.countFitting(worker.free(), job.demand());
      }
    }
    return count >= job.waiting().size();
  }

  private RunningAttempt start(TaskId task, QueuedJob job, WorkerLoad worker, long nowMs) {
    RunningAttempt attempt = state.allocate(task, job, worker.workerId, nowMs);
    worker.lastStartDecision = state.decisionNumber;
    return attempt;
  }

  private double score(WorkerLoad worker, QueuedJob job) {
    PolicySettings settings = state.settings;
    Resources usedAfter = worker.used().plus(job.demand());
    double utilization = ResourceMath.meanUtilization(usedAfter, worker.capacity());
    double speed = 1 - worker.capacityEstimator.slowRunShare();
    double startedHere = worker.lastStartDecision == state.decisionNumber ? 1 : 0;
    double score =
        settings.packingWeight() * utilization
            + settings.waitingWeight() * speed
            + settings.controlWeight() * startedHere;
    if (!job.failedWorkers.isEmpty() && worker.health.provenHealthy()) {
      score += HEALTHY_WORKER_WEIGHT;
    }
    return job.spreadOverRacks() ? score - SPREAD_WEIGHT * rackCrowding(worker, job) : score;
  }

  /** Returns the number of the job's tasks in the rack, plus its share of them on the worker. */
  private static double rackCrowding(WorkerLoad worker, QueuedJob job) {
    int inRack = job.runningByRack.getOrDefault(worker.rack(), 0);
    if (inRack == 0) {
      return 0;
    }
    long onWorker = worker.attempts.values().stream().filter(a -> a.job == job).count();
    return inRack + onWorker / (1.0 + job.running);
  }
}
