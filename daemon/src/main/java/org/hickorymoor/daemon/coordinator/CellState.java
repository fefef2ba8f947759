package org.hickorymoor.daemon.coordinator;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.policy.CellScheduler;
import org.jspecify.annotations.Nullable;

/**
 * What the parts of a cell share: its jobs, its lock, and the calls that are to go out.
 *
 * <p>Everything but the lock itself is used with the lock held.
 */
final class CellState {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final CellContext context;
  private final Object lock;
  private final Runnable pump;
  private final long startedMs;
  private final JobTable jobs = new JobTable();
  private boolean closed;
  private boolean settled;
  private boolean restored;
  private List<Runnable> calls = new ArrayList<>();

  CellState(CellContext context, Object lock, Runnable pump) {
    this.context = context;
    this.lock = lock;
    this.pump = pump;
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

  /** Returns the time at which the term of the cell began. */
  long startedMs() {
    return startedMs;
  }

  /** Tells whether the term has ended. */
  boolean closed() {
    return closed;
  }

  void close() {
    closed = true;
  }

  /**
   * Tells whether it is known what an earlier coordinator has started. Until then a task that
   * nobody has listed yet may run.
   */
  boolean settled() {
    return settled;
  }

  void settle() {
    settled = true;
  }

  /** Tells whether the jobs that the log holds are known. */
  boolean restored() {
    return restored;
  }

  void restore() {
    restored = true;
  }

  /** Notes a call that is to go out once the lock is free. */
  void later(Runnable call) {
    calls.add(call);
  }

  /** Has the cell decide and send. Called without the lock. */
  void pump() {
    pump.run();
  }

  List<Runnable> takeCalls() {
    List<Runnable> taken = calls;
    calls = new ArrayList<>();
    return taken;
  }

  void unplace(JobTask task) {
    String workerId = task.workerId();
    if (workerId != null) {
      jobs.unplace(workerId, task.workerTaskId());
    }
  }

  void completeIfEnded(Job job) {
    if (job.ended() || !job.allEnded()) {
      return;
    }
    job.end(nowMs());
    scheduler().cancel(job.jobId());
    jobs.keepEnded(job);
    JobAnswer answer = job.finalAnswer();
    calls.add(
        () ->
            context
                .journal()
                .finished(answer)
                .whenComplete((done, failure) -> finished(job, failure)));
    if (job.recorded()) {
      notifyWaiters(job);
    }
    logger.atFine().log("coordinator: Job %s is %s.", job.jobId(), job.state());
  }

  /** Takes in that the log holds the end of a job. Called without the lock. */
  private void finished(Job job, @Nullable Throwable failure) {
    synchronized (lock) {
      if (failure == null && !job.recorded()) {
        job.record();
        notifyWaiters(job);
      }
    }
    pump();
  }

  void notifyWaiters(Job job) {
    var answer = job.answer();
    job.takeWaiters().forEach(waiter -> calls.add(() -> waiter.complete(answer)));
  }
}
