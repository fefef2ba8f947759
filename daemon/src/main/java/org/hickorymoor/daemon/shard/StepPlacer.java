package org.hickorymoor.daemon.shard;

import com.google.common.base.Suppliers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hickorymoor.domain.workload.ApprovalPolicy;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.UrgentHeadroom;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.jspecify.annotations.Nullable;

/**
 * Chooses workers for the tasks of steps. Not thread-safe; confined to the event loop thread.
 *
 * <p>The steps of one pass are placed in the order of their urgency, between calls of {@link
 * #beginPass}.
 */
final class StepPlacer {

  /** Places a task on the worker that was chosen for it. */
  @FunctionalInterface
  interface Assignment {
    void assign(ScheduledJob job, TaskProgress task, WorkerSession worker, int run);
  }

  private final Map<String, WorkerSession> sessions;
  private final ApprovalCache approvals;
  private final StartLimit limit;
  private final Assignment assignment;
  private final WideTaskReservations reservations;

  /** The workers in use of each service, filled on first use in a pass. */
  private final Map<String, List<WorkerSession>> schedulableByService = new HashMap<>();

  /**
   * Creates a placer.
   *
   * @param sessions the sessions of all workers; changes as workers come and go
   * @param approvals approvals of steps that need them
   * @param limit limits the tasks that may run at a time
   * @param assignment places a task
   * @param reservations keeps workers free for wide tasks
   */
  StepPlacer(
      Map<String, WorkerSession> sessions,
      ApprovalCache approvals,
      StartLimit limit,
      Assignment assignment,
      WideTaskReservations reservations) {
    this.sessions = sessions;
    this.approvals = approvals;
    this.limit = limit;
    this.assignment = assignment;
    this.reservations = reservations;
  }

  /** Begins a pass, which sees the workers as they are now. */
  void beginPass() {
    schedulableByService.clear();
    reservations.beginPass();
  }

  /** Places the idle tasks of a step as far as they fit. */
  void place(ReadyStep next) {
    ScheduledJob job = next.job();
    StepProgress step = next.step();
    QueuePolicy policy = job.submission().policy();
    int idle = step.count(TaskProgress.Phase.IDLE);
    int permitted = limit.permittedStarts(job.submission(), step.spec(), idle);
    if (permitted == 0 || (step.spec().gang() && permitted < idle)) {
      return;
    }
    List<WorkerSession> schedulable = schedulable(policy.service());
    ApprovalPolicy approvalPolicy = policy.approval();
    List<WorkerSession> eligible =
        approvalPolicy == null ? schedulable : approvedWorkers(step.name());
    boolean allPlaced =
        step.spec().gang()
            ? placeGang(next, eligible)
            : placeIndependentTasks(next, eligible, permitted);
    if (!allPlaced && approvalPolicy != null) {
      approvals.request(job.submission(), step, next.urgency(), schedulable, approvalPolicy);
    }
  }

  /** Returns whether a worker is kept free for another step, or starts no run beside others. */
  boolean isHeldForOthers(ReadyStep next, WorkerSession session) {
    return !session.isStartable(next.step().tasks().get(0)) || !reservations.permits(next, session);
  }

  private List<WorkerSession> schedulableWorkers(String service) {
    return sessions.values().stream()
        .filter(
            session ->
                session.isSchedulable()
                    && session.allocation().descriptor().service().equals(service))
        .toList();
  }

  /** Returns the workers in use of a service as they were at the beginning of the pass. */
  private List<WorkerSession> schedulable(String service) {
    return schedulableByService.computeIfAbsent(service, this::schedulableWorkers);
  }

  private List<WorkerAllocation> allocations(String service) {
    return schedulable(service).stream().map(WorkerSession::allocation).toList();
  }

  private List<WorkerSession> approvedWorkers(String step) {
    List<WorkerSession> approved = new ArrayList<>();
    for (String worker : approvals.approvedWorkers(step)) {
      WorkerSession session = sessions.get(worker);
      if (session != null && session.isSchedulable()) {
        approved.add(session);
      }
    }
    return approved;
  }

  /** Returns whether all tasks that are permitted to start are placed. */
  private boolean placeIndependentTasks(
      ReadyStep next, List<WorkerSession> eligible, int permitted) {
    StepProgress step = next.step();
    int placed = 0;
    for (TaskProgress task : step.tasks()) {
      if (task.phase() != TaskProgress.Phase.IDLE) {
        continue;
      }
      if (placed == permitted) {
        return true;
      }
      WorkerSession best = chooseWorker(next, task, eligible, null);
      if (best == null) {
        holdWorker(next, task, eligible);
        reservations.onUnplaced(next, task, eligible);
        return false;
      }
      assignment.assign(next.job(), task, best, task.run() + 1);
      reservations.onPlaced(step);
      placed++;
    }
    return true;
  }

  private boolean placeGang(ReadyStep next, List<WorkerSession> eligible) {
    StepProgress step = next.step();
    int run = step.highestRun() + 1;
    // Reserves capacity for each member as it is chosen, so that two members don't count the same
    // capacity; released if a later member finds no worker.
    List<WorkerSession> chosen = new ArrayList<>();
    String rack = null;
    for (TaskProgress task : step.tasks()) {
      WorkerSession best = chooseWorker(next, task, eligible, step.spec().sameRack() ? rack : null);
      if (best == null) {
        for (int i = 0; i < chosen.size(); i++) {
          chosen.get(i).allocation().release(step.tasks().get(i).id(), run);
        }
        return false;
      }
      best.allocation().reserve(task.id(), run, task.spec());
      rack = best.allocation().descriptor().rack();
      chosen.add(best);
    }
    for (int i = 0; i < chosen.size(); i++) {
      assignment.assign(next.job(), step.tasks().get(i), chosen.get(i), run);
    }
    return true;
  }

  /**
   * Keeps a worker free of other starts for a suspected task that can start alone on none. One
   * worker at a time suffices to keep such tasks from waiting for ever.
   */
  private void holdWorker(ReadyStep next, TaskProgress task, List<WorkerSession> eligible) {
    if (task.suspectedCrashes() == 0
        || eligible.stream().anyMatch(session -> session.crashSuspects().isHeld())) {
      return;
    }
    WorkerSession best = chooseWorker(next, task, eligible, null, session -> true);
    if (best != null) {
      best.crashSuspects().holdFor(task);
    }
  }

  private @Nullable WorkerSession chooseWorker(
      ReadyStep next, TaskProgress task, List<WorkerSession> eligible, @Nullable String gangRack) {
    return chooseWorker(next, task, eligible, gangRack, session -> session.isStartable(task));
  }

  private @Nullable WorkerSession chooseWorker(
      ReadyStep next,
      TaskProgress task,
      List<WorkerSession> eligible,
      @Nullable String gangRack,
      Predicate<WorkerSession> isUsable) {
    QueuePolicy policy = next.job().submission().policy();
    Supplier<Boolean> headroomWaived =
        Suppliers.memoize(
            () -> UrgentHeadroom.isWaivedFor(task.spec(), allocations(policy.service())));
    WorkerSession best = null;
    double bestCost = Double.MAX_VALUE;
    WorkerSession bestInHeadroom = null;
    double bestCostInHeadroom = Double.MAX_VALUE;
    for (WorkerSession session : eligible) {
      WorkerAllocation allocation = session.allocation();
      if (!allocation.fits(task, 0)
          || !isUsable.test(session)
          || !reservations.permits(next, session)) {
        continue;
      }
      double cost = allocation.cost(task, gangRack);
      if (allocation.fits(task, UrgentHeadroom.headroom(policy.priority(), allocation))) {
        if (cost < bestCost) {
          best = session;
          bestCost = cost;
        }
      } else if (cost < bestCostInHeadroom
          && (allocation.fits(
                  task,
                  UrgentHeadroom.keepFreeCpuMillis(policy.priority(), task.spec(), allocation))
              || headroomWaived.get())) {
        bestInHeadroom = session;
        bestCostInHeadroom = cost;
      }
    }
    return best != null ? best : bestInHeadroom;
  }
}
