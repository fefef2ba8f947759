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
final class Suspicion {

  private static final int MAX_DOUBLINGS = 6;
  private static final int MAX_FAILURES_REMEMBERED = 16;

  private final Cell cell;
  private final Set<WorkerLoad> suspects = new LinkedHashSet<>();

  Suspicion(Cell cell) {
    this.cell = cell;
  }

  void succeeded(RunningAttempt attempt) {
    WorkerHealth health = attempt.worker.health;
    health.succeededOnce = true;
    health.failures.clear();
    attempt.job.succeededOnce = true;
    attempt.job.failedWorkers.clear();
    clear(attempt.worker);
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
    if (worker.health.failures.size() > MAX_FAILURES_REMEMBERED) {
      worker.health.failures.remove();
    }
    if (worker.health.probe == attempt) {
      probeFailed(worker, nowMs);
    }
    judge(worker, nowMs);
    for (WorkerLoad other : knownWorkers(job)) {
      judge(other, nowMs);
    }
    return soundFailures(job) >= cell.settings.giveUpAfterWorkers();
  }

  /** Forgets that an attempt was a probe, whatever became of it. */
  void ended(RunningAttempt attempt) {
    if (attempt.worker.health.probe == attempt) {
      attempt.worker.health.probe = null;
    }
  }

  /** Notes that an attempt is the probe of a worker that is set aside. */
  void started(RunningAttempt attempt) {
    if (attempt.worker.health.suspect) {
      attempt.worker.health.probe = attempt;
    }
  }

  /** Marks workers that may be probed now as having gained room. */
  void update(long nowMs) {
    for (WorkerLoad worker : suspects) {
      if (worker.health.probe == null && worker.health.probeAtMs <= nowMs) {
        cell.gainedRoom.add(worker);
      }
    }
  }

  void forget(WorkerLoad worker) {
    suspects.remove(worker);
  }

  private void judge(WorkerLoad worker, long nowMs) {
    boolean guilty = weight(worker) >= cell.settings.suspectAfterFailures();
    if (guilty && !worker.health.suspect) {
      worker.health.suspect = true;
      worker.health.probeDelayMs = cell.settings.probeDelayMs();
      worker.health.probeAtMs = nowMs + worker.health.probeDelayMs;
      suspects.add(worker);
    } else if (!guilty) {
      clear(worker);
    }
  }

  private void clear(WorkerLoad worker) {
    if (worker.health.suspect) {
      worker.health.suspect = false;
      suspects.remove(worker);
      cell.gainedRoom.add(worker);
    }
  }

  private void probeFailed(WorkerLoad worker, long nowMs) {
    long maxDelayMs = cell.settings.probeDelayMs() << MAX_DOUBLINGS;
    worker.health.probeDelayMs = Math.min(maxDelayMs, 2 * worker.health.probeDelayMs);
    worker.health.probeAtMs = nowMs + worker.health.probeDelayMs;
  }

  /** Returns how much the failures since the last success speak against a worker. */
  private int weight(WorkerLoad worker) {
    int weight = 0;
    Map<WorkKey, Boolean> counted = new HashMap<>();
    for (QueuedJob job : worker.health.failures) {
      if (failedOnSoundWorkerBesides(job, worker)) {
        continue;
      }
      boolean proven = cell.sizes.succeededElsewhere(job.workKey, worker.workerId);
      boolean first = counted.put(job.workKey, true) == null;
      weight += proven || first ? 1 : 0;
    }
    return weight;
  }

  private boolean failedOnSoundWorkerBesides(QueuedJob job, WorkerLoad worker) {
    for (WorkerLoad other : knownWorkers(job)) {
      if (other != worker && other.health.sound()) {
        return true;
      }
    }
    return false;
  }

  private int soundFailures(QueuedJob job) {
    int count = 0;
    for (WorkerLoad worker : knownWorkers(job)) {
      count += worker.health.sound() ? 1 : 0;
    }
    return count;
  }

  private List<WorkerLoad> knownWorkers(QueuedJob job) {
    List<WorkerLoad> workers = new ArrayList<>();
    for (String workerId : job.failedWorkers) {
      WorkerLoad worker = cell.ledger.worker(workerId);
      if (worker != null) {
        workers.add(worker);
      }
    }
    return workers;
  }
}
