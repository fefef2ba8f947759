package org.hickorymoor.domain.policy;

import java.util.ArrayList;
import java.util.List;

/** Explains in readable sentences why a job is waiting. */
final class Explainer {

  private final PolicyState state;
  private final FairQueue queue;

  Explainer(PolicyState state, FairQueue queue) {
    this.state = state;
    this.queue = queue;
  }

  List<String> explain(QueuedJob job, long nowMs) {
    List<String> sentences = new ArrayList<>();
    if (!job.waiting().isEmpty()) {
      sentences.add(mainCause(job));
      addDetails(job, nowMs, sentences);
    }
    if (job.backingOff > 0) {
      sentences.add(job.backingOff + " tasks wait for the end of a back-off before a retry");
    }
    return sentences;
  }

  private String mainCause(QueuedJob job) {
    if (!state.fitsWhenEmpty(job)) {
      return neverFits(job);
    }
    if (!queue.fitsQuotaLimit(job)) {
      return "it needs more than the limit in the quota of team " + job.team() + " ever allows";
    }
    if (!queue.withinQuota(job)) {
      return "team " + job.team() + " is at the limit of its quota";
    }
    String what = job.allAtOnce() ? "all at once" : "each";
    return job.waiting().size() + " tasks wait for workers with " + job.demand() + " " + what;
  }

  private String neverFits(QueuedJob job) {
    String known =
        state.fitsKnownCapacity(job)
            ? "a worker that held such a task has gone and may come back"
            : "no worker ever declared that much";
    return "no present worker could hold " + job.demand() + ", even when empty; " + known;
  }

  private void addDetails(QueuedJob job, long nowMs, List<String> sentences) {
    Reservation reservation = job.reservation;
    if (reservation != null) {
      long leftMs = reservation.expiresMs() - nowMs;
      sentences.add(reservation.workers().size() + " workers drain for it, " + leftMs + " ms left");
    }
    if (!job.failedWorkers.isEmpty()) {
      sentences.add("it failed on " + String.join(", ", job.failedWorkers));
    }
    sentences.add(queue.waitingTasks() + " tasks wait in all");
  }
}
