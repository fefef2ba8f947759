package org.hickorymoor.domain.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Distinguishes faulty workers, which are quarantined, from faulty jobs, which are given up.
 *
 * <p>A failure is attributed to the worker unless its job also failed on another proven healthy
 * worker. Each failure of a workload that succeeded on another worker counts; of a workload that
 * has not, only the first failure counts. A failure is attributed to the job only if the worker is
 * proven healthy.
 */
final class FailureAttribution {

  private static final int MAX_PROBE_DELAY_DOUBLINGS = 6;
  private static final int MAX_RECENT_FAILURES = 16;

  private final PolicyState state;
  private final Set<WorkerLoad> quarantinedWorkers = new LinkedHashSet<>();

  FailureAttribution(PolicyState state) {
    this.state = state;
  }

  void succeeded(RunningAttempt attempt) {
    WorkerHealth health = attempt.worker.health;
    health.succeededOnce = true;
    health.failures.clear();
    attempt.job.succeededOnce = true;
    attempt.job.failedWorkers.clear();
    endQuarantine(attempt.worker);
  }

  /**
   * Records a failed attempt.
   *
   * @return true if the job has failed on enough healthy workers to be given up
   */
  boolean failed(RunningAttempt attempt, long nowMs) {
    WorkerLoad worker = attempt.worker;
    QueuedJob job = attempt.job;
    if (!job.succeededOnce) {
      job.failedWorkers.add(worker.workerId);
    }
    worker.health.failures.add(job);
    if (worker.health.failures.size() > MAX_RECENT_FAILURES) {
      worker.health.failures.remove();
    }
    if (worker.health.probe == attempt) {
      probeFailed(worker, nowMs);
    }
    updateQuarantine(worker, nowMs);
    for (WorkerLoad other : trackedFailedWorkers(job)) {
      updateQuarantine(other, nowMs);
    }
    return countHealthyFailedWorkers(job) >= state.settings.giveUpAfterWorkers();
  }

  /** Clears the probe of a worker when the probe ends, regardless of its outcome. */
  void ended(RunningAttempt attempt) {
    if (attempt.worker.health.probe == attempt) {
      attempt.worker.health.probe = null;
    }
  }

  /** Records an attempt that starts on a quarantined worker as the probe of that worker. */
  void started(RunningAttempt attempt) {
    if (attempt.worker.health.quarantined) {
      attempt.worker.health.probe = attempt;
    }
  }

  /** Adds the quarantined workers that are due for a probe to the freed workers. */
  void offerDueProbes(long nowMs) {
    for (WorkerLoad worker : quarantinedWorkers) {
      if (worker.health.probe == null && worker.health.probeAtMs <= nowMs) {
        state.freedWorkers.add(worker);
      }
    }
  }

  void removeWorker(WorkerLoad worker) {
    quarantinedWorkers.remove(worker);
  }

  private void updateQuarantine(WorkerLoad worker, long nowMs) {
    boolean faulty = countAttributedFailures(worker) >= state.settings.suspectAfterFailures();
    if (faulty && !worker.health.quarantined) {
      worker.health.quarantined = true;
      worker.health.probeDelayMs = state.settings.probeDelayMs();
      worker.health.probeAtMs = nowMs + worker.health.probeDelayMs;
      quarantinedWorkers.add(worker);
    } else if (!faulty) {
      endQuarantine(worker);
    }
  }

  private void endQuarantine(WorkerLoad worker) {
    if (worker.health.quarantined) {
      worker.health.quarantined = false;
      quarantinedWorkers.remove(worker);
      state.freedWorkers.add(worker);
    }
  }

  private void probeFailed(WorkerLoad worker, long nowMs) {
    long maxDelayMs = state.settings.probeDelayMs() << MAX_PROBE_DELAY_DOUBLINGS;
    worker.health.probeDelayMs = Math.min(maxDelayMs, 2 * worker.health.probeDelayMs);
    worker.health.probeAtMs = nowMs + worker.health.probeDelayMs;
  }

  /** Counts the failures since the last success that are attributed to a worker. */
  private int countAttributedFailures(WorkerLoad worker) {
    int count = 0;
    Map<WorkloadKey, Boolean> counted = new HashMap<>();
    for (QueuedJob job : worker.health.failures) {
      if (failedOnOtherHealthyWorker(job, worker)) {
        continue;
      }
      boolean succeededElsewhere =
          state.workloadEstimator.succeededElsewhere(job.workloadKey, worker.workerId);
      boolean first = counted.put(job.workloadKey, true) == null;
      count += succeededElsewhere || first ? 1 : 0;
    }
    return count;
  }

  private boolean failedOnOtherHealthyWorker(QueuedJob job, WorkerLoad worker) {
    for (WorkerLoad other : trackedFailedWorkers(job)) {
      if (other != worker && other.health.provenHealthy()) {
        return true;
      }
    }
    return false;
  }

  private int countHealthyFailedWorkers(QueuedJob job) {
    int count = 0;
    for (WorkerLoad worker : trackedFailedWorkers(job)) {
      count += worker.health.provenHealthy() ? 1 : 0;
    }
    return count;
  }

  private List<WorkerLoad> trackedFailedWorkers(QueuedJob job) {
    List<WorkerLoad> workers = new ArrayList<>();
    for (String workerId : job.failedWorkers) {
      WorkerLoad worker = state.allocations.worker(workerId);
      if (worker != null) {
        workers.add(worker);
      }
    }
    return workers;
  }
}
