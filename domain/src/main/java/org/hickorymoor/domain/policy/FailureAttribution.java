package org.hickorymoor.domain.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells workers that fail everything from jobs that can never run.
 *
 * <p>A failure speaks against the worker unless its job failed on other workers too. Failures of
 * work that succeeds elsewhere weigh fully; of work that never succeeded anywhere, only one failure
 * per kind counts. A failure speaks against the job only where the worker is known to run other
 * work.
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
   * Takes a failure in.
   *
   * @return true if the job is to be given up
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

  /** Forgets that an attempt was a probe, whatever became of it. */
  void ended(RunningAttempt attempt) {
    if (attempt.worker.health.probe == attempt) {
      attempt.worker.health.probe = null;
    }
  }

  /** Notes that an attempt is the probe of a worker that is set aside. */
  void started(RunningAttempt attempt) {
    if (attempt.worker.health.quarantined) {
      attempt.worker.health.probe = attempt;
    }
  }

  /** Marks workers that may be probed now as having gained room. */
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

  /** Returns how much the failures since the last success speak against a worker. */
  private int countAttributedFailures(WorkerLoad worker) {
    int count = 0;
    Map<WorkloadKey, Boolean> counted = new HashMap<>();
    for (QueuedJob job : worker.health.failures) {
      if (failedOnOtherHealthyWorker(job, worker)) {
        continue;
      }
      boolean succeededElsewhere =
          state.workloads.succeededElsewhere(job.workloadKey, worker.workerId);
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
