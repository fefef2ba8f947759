package org.hickorymoor.domain.policy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.ReasonType;

/** Starts what waits: reserved jobs first, then class by class in the order of the fair queue. */
final class Starter {

  /** What is done with a job that can't go on. */
  @FunctionalInterface
  interface Endings {
    void giveUp(QueuedJob job, ReasonType type, String message);
  }

  private static final long AVOIDANCE_DELAY_MS = 500;

  private final Cell cell;
  private final FairQueue queue;
  private final Placement placement;
  private final Reservations reservations;
  private final Suspicion suspicion;
  private final DelayedAttempts delayed;
  private final Endings endings;
  private final Set<QueuedJob> unplaceable = new LinkedHashSet<>();

  Starter(
      Cell cell,
      FairQueue queue,
      Reservations reservations,
      Suspicion suspicion,
      DelayedAttempts delayed,
      Endings endings) {
    this.cell = cell;
    this.queue = queue;
    this.placement = new Placement(cell);
    this.reservations = reservations;
    this.suspicion = suspicion;
    this.delayed = delayed;
    this.endings = endings;
  }

  /** Queues a job, unless no present worker could hold it. */
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

  /** Queues the jobs again that no worker could hold, after workers or quotas changed. */
  void retryUnplaceable() {
    List<QueuedJob> parked = List.copyOf(unplaceable);
    unplaceable.clear();
    parked.stream().filter(QueuedJob::ready).forEach(queue::add);
  }

  /** Starts whatever fits now. */
  List<Decision> startAll(long nowMs) {
    List<Decision> decisions = new ArrayList<>();
    startReserved(nowMs, decisions);
    queue.unblock(job -> gainedRoomFor(job, nowMs));
    cell.gainedRoom.clear();
    for (JobClass jobClass : JobClass.values()) {
      startClass(jobClass, nowMs, decisions);
    }
    return decisions;
  }

  private boolean gainedRoomFor(QueuedJob job, long nowMs) {
    if (job.allAtOnce()) {
      return !cell.gainedRoom.isEmpty();
    }
    Resources expected = cell.expected(job);
    for (WorkerLoad worker : cell.gainedRoom) {
      if (cell.hasRoom(worker, job, expected) && cell.admits(worker, job, nowMs)) {
        return true;
      }
    }
    return false;
  }

  private void startReserved(long nowMs, List<Decision> decisions) {
    if (cell.gainedRoom.isEmpty()) {
      return;
    }
    for (QueuedJob job : reservations.jobs()) {
      if (job.queue == null) {
        reservations.release(job);
      } else if (queue.allows(job)) {
        start(job, nowMs, decisions);
      }
    }
  }

  private void startClass(JobClass jobClass, long nowMs, List<Decision> decisions) {
    while (decisions.size() < cell.settings.maxStartsPerDecision()) {
      QueuedJob next = queue.next(jobClass);
      if (next == null || (jobClass == JobClass.BATCH && headroomUsedUp())) {
        return;
      }
      QueuedJob job = acceleratorWorkFirst(next, nowMs);
      if (!queue.everAllows(job)) {
        queue.remove(job);
        unplaceable.add(job);
      } else if (!queue.allows(job)) {
        queue.hold(job);
      } else if (!start(job, nowMs, decisions)) {
        putAside(job, nowMs);
      }
    }
  }

  /**
   * Lets work in need of accelerators go before a job that would take a worker with accelerators, a
   * bounded number of times per job.
   */
  private QueuedJob acceleratorWorkFirst(QueuedJob job, long nowMs) {
    boolean mayYield =
        job.acceleratorSkips < cell.settings.acceleratorSkips()
            && job.demand().accelerators() == 0
            && !job.allAtOnce();
    if (!mayYield) {
      return job;
    }
    QueuedJob other = queue.nextWithAccelerators(job.jobClass());
    WorkerLoad worker = other == null ? null : placement.choose(job, nowMs);
    if (other == null || worker == null || worker.capacity().accelerators() == 0) {
      return job;
    }
    job.acceleratorSkips++;
    return other;
  }

  private boolean headroomUsedUp() {
    double limit = cell.total().slots() * (1 - cell.settings.urgentHeadroomShare());
    return cell.ledger.used().slots() >= limit;
  }

  /** Starts the next task of a job, or all tasks of an all-at-once job. */
  private boolean start(QueuedJob job, long nowMs, List<Decision> decisions) {
    List<RunningAttempt> started = place(job, nowMs);
    for (RunningAttempt attempt : started) {
      job.removeWaiting(attempt.task.index());
      queue.charge(job.team(), job.demand());
      suspicion.started(attempt);
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

  /** Passes a job over that fits nowhere at present. */
  private void putAside(QueuedJob job, long nowMs) {
    if (!cell.couldHold(job)) {
      putAsideUnplaceable(job);
    } else if (!job.avoidsSome()) {
      queue.block(job);
    } else if (otherWorkerCouldHold(job)) {
      job.avoidanceDelays++;
      queue.remove(job);
      delayed.park(job, nowMs + AVOIDANCE_DELAY_MS);
    } else {
      job.stopAvoiding();
    }
  }

  private void putAsideUnplaceable(QueuedJob job) {
    queue.remove(job);
    if (cell.settings.giveUpNeverFits() && !cell.everHeld(job)) {
      endings.giveUp(
          job, ReasonType.NEVER_FITS, "no worker ever declared room for " + job.demand());
    } else {
      unplaceable.add(job);
    }
  }

  private boolean otherWorkerCouldHold(QueuedJob job) {
    return cell.ledger.workers().stream()
        .filter(worker -> worker.open() && !worker.health.suspect)
        .filter(worker -> !job.avoids(worker.workerId))
        .anyMatch(worker -> job.demand().fitsIn(worker.capacity()));
  }
}
