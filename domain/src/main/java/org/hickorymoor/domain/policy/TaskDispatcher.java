package org.hickorymoor.domain.policy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.ReasonType;

/**
 * Starts waiting tasks: those of jobs with a reservation first, then class by class in fair-queue
 * order.
 */
final class TaskDispatcher {

  /** Called for a job that cannot be completed. */
  @FunctionalInterface
  interface GiveUpHandler {
    void giveUp(QueuedJob job, ReasonType type, String message);
  }

  private static final long AVOIDANCE_DELAY_MS = 500;

  private final PolicyState state;
  private final FairQueue queue;
  private final Placement placement;
  private final Reservations reservations;
  private final FailureAttribution failureAttribution;
  private final DelayedAttempts delayed;
  private final GiveUpHandler giveUpHandler;
  private final Set<QueuedJob> unplaceable = new LinkedHashSet<>();

  TaskDispatcher(
      PolicyState state,
      FairQueue queue,
      Reservations reservations,
      FailureAttribution failureAttribution,
      DelayedAttempts delayed,
      GiveUpHandler giveUpHandler) {
    this.state = state;
    this.queue = queue;
    this.placement = new Placement(state);
    this.reservations = reservations;
    this.failureAttribution = failureAttribution;
    this.delayed = delayed;
    this.giveUpHandler = giveUpHandler;
  }

  /** Queues a job, unless it is known to exceed every present worker or its team's quota. */
  void add(QueuedJob job) {
    if (job.ready() && !unplaceable.contains(job)) {
      queue.add(job);
    }
  }

  void remove(QueuedJob job) {
    queue.remove(job);
    reservations.release(job);
    unplaceable.remove(job);
  }

  /** Requeues the jobs that exceeded every worker or quota, after workers or settings changed. */
  void requeueUnplaceable() {
    List<QueuedJob> requeued = List.copyOf(unplaceable);
    unplaceable.clear();
    requeued.stream().filter(QueuedJob::ready).forEach(queue::add);
  }

  /** Starts waiting tasks that fit, until the limit of starts per decision is reached. */
  List<Decision> startAll(long nowMs) {
    List<Decision> decisions = new ArrayList<>();
    startReserved(nowMs, decisions);
    queue.unblock(job -> roomFreedFor(job, nowMs));
    state.freedWorkers.clear();
    for (JobClass jobClass : JobClass.values()) {
      startClass(jobClass, nowMs, decisions);
    }
    return decisions;
  }

  private boolean roomFreedFor(QueuedJob job, long nowMs) {
    if (job.allAtOnce()) {
      return !state.freedWorkers.isEmpty();
    }
    Resources expected = state.expectedDemand(job);
    for (WorkerLoad worker : state.freedWorkers) {
      if (state.hasRoom(worker, job, expected) && state.eligible(worker, job, nowMs)) {
        return true;
      }
    }
    return false;
  }

  private void startReserved(long nowMs, List<Decision> decisions) {
    if (state.freedWorkers.isEmpty()) {
      return;
    }
    for (QueuedJob job : reservations.jobs()) {
      if (job.queue == null) {
        reservations.release(job);
      } else if (queue.withinQuota(job)) {
        start(job, nowMs, decisions);
      }
    }
  }

  private void startClass(JobClass jobClass, long nowMs, List<Decision> decisions) {
    while (decisions.size() < state.settings.maxStartsPerDecision()) {
      QueuedJob next = queue.next(jobClass);
      if (next == null || (jobClass == JobClass.BATCH && urgentHeadroomExhausted())) {
        return;
      }
      QueuedJob job = preferAcceleratorJob(next, nowMs);
      if (!queue.fitsQuotaLimit(job)) {
        queue.remove(job);
        unplaceable.add(job);
      } else if (!queue.withinQuota(job)) {
        queue.holdForQuota(job);
      } else if (!start(job, nowMs, decisions)) {
        postpone(job, nowMs);
      }
    }
  }

  /**
   * Returns a job that needs accelerators instead of the given one, if the given one needs none but
   * would be placed on a worker that has some. A job is skipped this way a bounded number of times.
   */
  private QueuedJob preferAcceleratorJob(QueuedJob job, long nowMs) {
    boolean mayYield =
        job.acceleratorSkips < state.settings.acceleratorSkips()
            && job.demand().accelerators() == 0
            && !job.allAtOnce();
    if (!mayYield) {
      return job;
    }
    QueuedJob acceleratorJob = queue.nextWithAccelerators(job.jobClass());
    WorkerLoad worker = acceleratorJob == null ? null : placement.choose(job, nowMs);
    if (acceleratorJob == null || worker == null || worker.capacity().accelerators() == 0) {
      return job;
    }
    job.acceleratorSkips++;
    return acceleratorJob;
  }

  private boolean urgentHeadroomExhausted() {
    double limit = state.total().slots() * (1 - state.settings.urgentHeadroomShare());
    return state.allocations.used().slots() >= limit;
  }

  /** Starts the next task of a job, or all tasks of an all-at-once job; returns whether it did. */
  private boolean start(QueuedJob job, long nowMs, List<Decision> decisions) {
    List<RunningAttempt> started = place(job, nowMs);
    for (RunningAttempt attempt : started) {
      job.removeWaiting(attempt.task.index());
      queue.addUsage(job.team(), job.demand());
      failureAttribution.started(attempt);
      decisions.add(new Decision.Start(attempt.task, attempt.worker.workerId));
    }
    if (started.isEmpty()) {
      return false;
    }
    reservations.release(job);
    job.avoidanceDelays = 0;
    job.acceleratorSkips = 0;
    queue.restartAging(job, nowMs);
    queue.recount(job);
    return true;
  }

  private List<RunningAttempt> place(QueuedJob job, long nowMs) {
    if (job.allAtOnce()) {
      return placement.startAll(job, nowMs);
    }
    RunningAttempt attempt = placement.startOne(job, nowMs);
    return attempt == null ? List.of() : List.of(attempt);
  }

  /** Defers a job that currently fits on no worker. */
  private void postpone(QueuedJob job, long nowMs) {
    if (!state.fitsWhenEmpty(job)) {
      postponeOrGiveUp(job);
    } else if (!job.avoidsAnyWorker()) {
      queue.block(job);
    } else if (otherWorkerFits(job)) {
      job.avoidanceDelays++;
      queue.remove(job);
      delayed.addJob(job, nowMs + AVOIDANCE_DELAY_MS);
    } else {
      job.stopAvoiding();
    }
  }

  private void postponeOrGiveUp(QueuedJob job) {
    queue.remove(job);
    if (state.settings.giveUpNeverFits() && !state.fitsKnownCapacity(job)) {
      giveUpHandler.giveUp(
          job, ReasonType.NEVER_FITS, "no worker ever declared room for " + job.demand());
    } else {
      unplaceable.add(job);
    }
  }

  private boolean otherWorkerFits(QueuedJob job) {
    return state.allocations.workers().stream()
        .filter(worker -> worker.schedulable() && !worker.health.quarantined)
        .filter(worker -> !job.avoidsWorker(worker.workerId))
        .anyMatch(worker -> job.demand().fitsIn(worker.capacity()));
  }
}
