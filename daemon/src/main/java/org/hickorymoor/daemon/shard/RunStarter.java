package org.hickorymoor.daemon.shard;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.hickorymoor.domain.workload.TaskProgress;
import org.jspecify.annotations.Nullable;

/**
 * Sends the start requests of runs whose placements are stored, unless what they were placed for no
 * longer holds. Not thread-safe; confined to the event loop thread.
 */
final class RunStarter {

  private final Map<String, WorkerSession> sessions;
  private final ApprovalCache approvals;
  private final ShardMetrics metrics;
  private final BooleanSupplier isClosed;
  private final BiConsumer<ScheduledJob, Placement> onWithdrawn;

  /**
   * Creates a starter.
   *
   * @param sessions the sessions of all workers; changes as workers come and go
   * @param approvals approvals of steps that need them
   * @param metrics counts the start requests
   * @param isClosed whether this host no longer coordinates
   * @param onWithdrawn receives each run that is withdrawn instead of started
   */
  RunStarter(
      Map<String, WorkerSession> sessions,
      ApprovalCache approvals,
      ShardMetrics metrics,
      BooleanSupplier isClosed,
      BiConsumer<ScheduledJob, Placement> onWithdrawn) {
    this.sessions = sessions;
    this.approvals = approvals;
    this.metrics = metrics;
    this.isClosed = isClosed;
    this.onWithdrawn = onWithdrawn;
  }

  /** Starts a run whose placement is stored, once its job is stored too. */
  void start(ScheduledJob job, WorkerSession session, Placement placement) {
    if (!session.hasReservation(placement)) {
      return;
    }
    if (!job.accepted && !isClosed.getAsBoolean()) {
      job.deferredStarts.add(() -> start(job, session, placement));
      return;
    }
    if (isClosed.getAsBoolean() || job.progress.state().isFinal() || !isStartable(job, placement)) {
      session.withdraw(placement);
      onWithdrawn.accept(job, placement);
      return;
    }
    metrics.startSent();
    session.start(placement, job.submission().spec().payload(), ticketToSend(placement.task()));
  }

  /**
   * Returns whether a placed run can still start. A member of a gang starts only if all others can,
   * as it would wait for them in vain.
   */
  private boolean isStartable(ScheduledJob job, Placement placement) {
    TaskProgress task = placement.task();
    if (placement.isStopping()) {
      return false;
    }
    if (!task.spec().gang()) {
      return hasRoomAndApproval(job, task);
    }
    return job.progress.steps(task.id().occurrence()).get(task.id().step()).tasks().stream()
        .allMatch(member -> member.run() == task.run() && hasRoomAndApproval(job, member));
  }

  /**
   * Returns whether what a task was placed for still holds: while the placement was being stored,
   * the approval may have expired, and the worker's capacity may have shrunk.
   */
  private boolean hasRoomAndApproval(ScheduledJob job, TaskProgress task) {
    WorkerSession session = sessions.get(String.valueOf(task.workerId()));
    return session != null
        && !session.allocation().isOverCommitted()
        && (job.submission().policy().approval() == null || ticketToSend(task) != null);
  }

  private @Nullable String ticketToSend(TaskProgress task) {
    return approvals.ticketToSend(task.id().stepName(), String.valueOf(task.workerId()));
  }
}
