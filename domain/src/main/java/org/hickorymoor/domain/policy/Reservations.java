package org.hickorymoor.domain.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;

/**
 * Reserves and drains workers for jobs that have waited too long, which prevents starvation by
 * smaller jobs.
 *
 * <p>A job gets all the workers it needs or none, so two jobs cannot deadlock on each other's
 * workers. A reservation ends when the job starts or is cancelled, when a reserved worker becomes
 * unavailable, or when it expires.
 */
final class Reservations {

  private static final int MAX_RESERVATIONS = 4;
  private static final int MAX_CANDIDATES_PER_CLASS = 8;

  private final PolicyState state;
  private final FairQueue queue;
  private final Map<QueuedJob, Reservation> reservations = new LinkedHashMap<>();

  Reservations(PolicyState state, FairQueue queue) {
    this.state = state;
    this.queue = queue;
  }

  /** Returns the jobs with a reservation, in the order in which they were granted. */
  Collection<QueuedJob> jobs() {
    return List.copyOf(reservations.keySet());
  }

  /** Ends expired reservations and grants new ones to jobs that have waited long enough. */
  void update(long nowMs) {
    expire(nowMs);
    for (JobClass jobClass : JobClass.values()) {
      grantOldest(queue.jobsByAge(jobClass), nowMs);
    }
  }

  /** Releases the workers reserved for a job, if any. */
  void release(QueuedJob job) {
    Reservation reservation = reservations.remove(job);
    if (reservation != null) {
      job.reservation = null;
      reservation.workers().forEach(this::release);
    }
  }

  private void release(WorkerLoad worker) {
    worker.reservation = null;
    state.freedWorkers.add(worker);
  }

  private void expire(long nowMs) {
    for (Reservation reservation : new ArrayList<>(reservations.values())) {
      if (reservation.expiresMs() <= nowMs || !allSchedulable(reservation.workers())) {
        release(reservation.job());
        queue.restartAging(reservation.job(), nowMs);
      }
    }
  }

  private static boolean allSchedulable(List<WorkerLoad> workers) {
    return workers.stream().allMatch(WorkerLoad::schedulable);
  }

  private void grantOldest(Collection<QueuedJob> jobs, long nowMs) {
    for (QueuedJob job : oldest(jobs)) {
      if (reservations.size() >= MAX_RESERVATIONS || !hasAged(job, nowMs)) {
        return;
      }
      if (job.reservation == null && !grant(job, nowMs)) {
        queue.restartAging(job, nowMs);
      }
    }
  }

  private static List<QueuedJob> oldest(Collection<QueuedJob> jobs) {
    return jobs.stream().limit(MAX_CANDIDATES_PER_CLASS).toList();
  }

  private boolean hasAged(QueuedJob job, long nowMs) {
    return nowMs - job.agingSinceMs >= state.settings.reservationAfterMs();
  }

  /** Reserves workers for a job; returns false if there are too few or the quota forbids it. */
  private boolean grant(QueuedJob job, long nowMs) {
    if (!queue.withinQuota(job)) {
      return false;
    }
    List<WorkerLoad> chosen = choose(job, state.expectedDemand(job));
    boolean usesDeclaredDemand = chosen.isEmpty();
    if (usesDeclaredDemand) {
      chosen = choose(job, job.demand());
    }
    if (chosen.isEmpty()) {
      return false;
    }
    long expiresMs = nowMs + state.settings.reservationMs();
    Reservation reservation = new Reservation(job, chosen, expiresMs, usesDeclaredDemand);
    reservations.put(job, reservation);
    job.reservation = reservation;
    chosen.forEach(worker -> worker.reservation = reservation);
    state.freedWorkers.addAll(chosen);
    return true;
  }

  /** Returns enough workers to fit a job once drained, least to drain first; empty if too few. */
  private List<WorkerLoad> choose(QueuedJob job, Resources size) {
    List<WorkerLoad> candidates =
        state.allocations.workers().stream()
            .filter(worker -> worker.schedulable() && worker.reservation == null)
            .filter(worker -> !worker.health.quarantined && !job.avoidsWorker(worker.workerId))
            .filter(worker -> countWhenDrained(worker, size) > 0)
            .sorted(Comparator.comparingDouble(Reservations::releasableShare))
            .toList();
    int remaining = job.allAtOnce() ? job.waiting().size() : 1;
    List<WorkerLoad> chosen = new ArrayList<>();
    for (WorkerLoad worker : candidates) {
      if (remaining <= 0) {
        break;
      }
      remaining -= countWhenDrained(worker, size);
      chosen.add(worker);
    }
    return remaining > 0 ? List.of() : chosen;
  }

  private static int countWhenDrained(WorkerLoad worker, Resources size) {
    return ResourceMath.countFitting(worker.free().plus(worker.releasableUse()), size);
  }

  private static double releasableShare(WorkerLoad worker) {
    return ResourceMath.dominantShare(worker.releasableUse(), worker.capacity());
  }
}
