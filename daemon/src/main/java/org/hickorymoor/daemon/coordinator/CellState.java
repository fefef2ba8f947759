package org.hickorymoor.daemon.coordinator;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.policy.CellScheduler;
import org.jspecify.annotations.Nullable;

/**
 * State shared by the classes of a cell: jobs, the lock, and calls deferred until it is released.
 *
 * <p>Methods are called with the lock held unless noted otherwise.
 */
final class CellState {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long RESTORE_TIMEOUT_MS = 1_000;

  private final CellContext context;
  private final Object lock;
  private final Runnable dispatch;
  private final long startedMs;
  private final JobTable jobs = new JobTable();
  private boolean closed;
  private boolean reconciled;
  private boolean restored;
  private List<Runnable> deferredCalls = new ArrayList<>();

  CellState(CellContext context, Object lock, Runnable dispatch) {
    this.context = context;
    this.lock = lock;
    this.dispatch = dispatch;
    this.startedMs = context.clockMs().getAsLong();
  }

  CellContext context() {
    return context;
  }

  Object lock() {
    return lock;
  }

  JobTable jobs() {
    return jobs;
  }

  CellScheduler scheduler() {
    return context.scheduler();
  }

  long nowMs() {
    return context.clockMs().getAsLong();
  }

  /** Returns the monotonic time at which the cell's term began. */
  long startedMs() {
    return startedMs;
  }

  /** Returns whether the term has ended. */
  boolean closed() {
    return closed;
  }

  void close() {
    closed = true;
  }

  /**
   * Returns whether the tasks started by earlier coordinators are known. Until then, a task that no
   * worker has listed may still be running.
   */
  boolean reconciled() {
    return reconciled;
  }

  void markReconciled() {
    reconciled = true;
  }

  /** Returns whether the jobs in the log have been read. */
  boolean restored() {
    return restored;
  }

  /** Returns whether the coordinator no longer waits for the jobs in the log. */
  boolean restoreTimedOut() {
    return nowMs() > startedMs + RESTORE_TIMEOUT_MS;
  }

  void markRestored() {
    restored = true;
  }

  /** Defers a call until the lock is released. */
  void defer(Runnable call) {
    deferredCalls.add(call);
  }

  /** Runs the scheduler and the deferred calls. Called without the lock. */
  void dispatch() {
    dispatch.run();
  }

  List<Runnable> drainDeferredCalls() {
    List<Runnable> taken = deferredCalls;
    deferredCalls = new ArrayList<>();
    return taken;
  }

  void removePlacement(JobTask task) {
    String workerId = task.workerId();
    if (workerId != null) {
      jobs.removePlacement(workerId, task.workerTaskId());
    }
  }

  void completeIfEnded(Job job) {
    if (job.ended() || !job.allEnded()) {
      return;
    }
    job.markEnded(nowMs());
    scheduler().cancel(job.jobId());
    jobs.retainEnded(job);
    JobAnswer answer = job.finalAnswer();
    deferredCalls.add(
        () ->
            context
                .journal()
                .recordFinished(answer)
                .whenComplete((done, failure) -> finished(job, failure)));
    if (job.endConfirmed()) {
      notifyWaiters(job);
    }
    logger.atFine().log("coordinator: Job %s ended as %s.", job.jobId(), job.state());
  }

  /** Handles the outcome of recording a job's end in the log. Called without the lock. */
  private void finished(Job job, @Nullable Throwable failure) {
    synchronized (lock) {
      if (failure == null && !job.endConfirmed()) {
        job.markRecorded();
        notifyWaiters(job);
      }
    }
    dispatch();
  }

  void notifyWaiters(Job job) {
    var answer = job.answer();
    job.drainWaiters().forEach(waiter -> deferredCalls.add(() -> waiter.complete(answer)));
  }
}
