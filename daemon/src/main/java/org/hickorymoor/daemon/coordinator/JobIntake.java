package org.hickorymoor.daemon.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.coordinator.JobTask.Phase;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.ledger.LedgerEntry;
import org.hickorymoor.domain.ledger.LedgerJob;
import org.jspecify.annotations.Nullable;

/** Accepts jobs from callers and restores jobs from the log. Guarded by the cell's lock. */
final class JobIntake {

  private static final long CLAIM_RETRY_MS = 500;

  private final CellState state;
  private final List<Job> awaitingRestore = new ArrayList<>();

  JobIntake(CellState state) {
    this.state = state;
  }

  /**
   * Records a new job in the log. A repeatable job is queued once the cell is reconciled, any other
   * job once its key is claimed.
   */
  void record(Job job) {
    job.confirmOpen();
    if (!job.spec().repeatable()) {
      claimOnceRestored(job);
      return;
    }
    if (state.reconciled()) {
      enqueue(job);
    }
    state.defer(
        () ->
            state
                .context()
                .journal()
                .recordAccepted(job.jobId(), job.spec())
                .whenComplete((done, failure) -> completeAcceptance(job, failure)));
  }

  /** Called without the lock. */
  private static void completeAcceptance(Job job, @Nullable Throwable failure) {
    if (failure == null) {
      job.acceptance().complete(null);
    } else {
      job.acceptance().completeExceptionally(failure);
    }
  }

  /**
   * Claims a job's key once the log has been read: until then, an earlier coordinator may hold the
   * claim and run the job. The job is rejected if the log can't be read in time.
   */
  private void claimOnceRestored(Job job) {
    if (state.restored()) {
      claim(job);
    } else if (state.restoreTimedOut()) {
      rejectUnrestored(job);
    } else {
      awaitingRestore.add(job);
    }
  }

  /** Claims the keys of the jobs that wait for the log to be read, or rejects them after a time. */
  void claimAwaitingRestore() {
    if (!state.restored() && !state.restoreTimedOut()) {
      return;
    }
    List<Job> waiting = List.copyOf(awaitingRestore);
    awaitingRestore.clear();
    for (Job job : waiting) {
      if (state.context().journal().find(job.jobId()).isPresent()) {
        job.acceptance().complete(null);
      } else if (!job.ended()) {
        claimOnceRestored(job);
      }
    }
  }

  /** Rejects a job, unless a worker has reported its tasks meanwhile. */
  private void rejectUnrestored(Job job) {
    if (job.allInPhase(Phase.WAITING)) {
      String message =
          "This coordinator has just taken over and can't read the log, which tells whether an"
              + " earlier coordinator ran the job; repeat the request once the log is back.";
      reject(job, new JournalException(JournalException.Type.LOG_OUT, message));
    }
  }

  /** Claims a job's key in the log. */
  private void claim(Job job) {
    state.defer(
        () ->
            state
                .context()
                .journal()
                .claim(job.jobId(), job.spec())
                .whenComplete((jobId, failure) -> claimed(job, jobId, failure)));
  }

  /** Called without the lock. */
  private void claimed(Job job, @Nullable String jobId, @Nullable Throwable failure) {
    synchronized (state.lock()) {
      if (job.cancelled()) {
        endUnstarted(job, job.reason().type(), job.reason().message());
      } else if (failure == null && job.jobId().equals(jobId)) {
        job.acceptance().complete(null);
        clearDoubt(job);
        enqueue(job);
      } else if (jobId != null) {
        continueUnderClaimedId(job, jobId);
      } else if (WorkerAgent.unwrap(failure) instanceof JournalException e) {
        reject(job, e);
      }
    }
    state.dispatch();
  }

  /** Continues under the job id for which this domain claimed the key earlier. */
  private void continueUnderClaimedId(Job job, String jobId) {
    state.jobs().remove(job);
    job.acceptance().complete(null);
    Job claimed = state.jobs().byId(jobId);
    if (claimed == null) {
      state.context().journal().find(jobId).ifPresent(known -> restore(known, true));
      claimed = state.jobs().byId(jobId);
    }
    if (claimed == null) {
      claimed = new Job(jobId, job.spec(), job.acceptedMs());
      state.jobs().add(claimed);
    }
    claimed.confirmOpen();
    job.drainWaiters().forEach(claimed::addWaiter);
    if (claimed.ended()) {
      state.notifyWaiters(claimed);
    }
    enqueue(claimed);
  }

  private static void clearDoubt(Job job) {
    job.reason(Reason.NONE);
    job.tasks().stream()
        .filter(task -> task.phase() == Phase.IN_DOUBT)
        .forEach(task -> task.phase(Phase.WAITING));
  }

  private void reject(Job job, JournalException e) {
    if (e.type() == JournalException.Type.UNKNOWN) {
      job.markClaimUncertain();
    }
    if (job.claimUncertain() && e.type() != JournalException.Type.CLAIMED_ELSEWHERE) {
      retryClaimLater(job, e);
      return;
    }
    ReasonType type =
        e.type() == JournalException.Type.CLAIMED_ELSEWHERE
            ? ReasonType.KEY_REUSED
            : ReasonType.LOG_UNAVAILABLE;
    job.reason(new Reason(type, e.explanation()));
    discard(job, Phase.NOT_RUN);
  }

  private void discard(Job job, Phase finalPhase) {
    job.tasks().forEach(task -> task.phase(finalPhase));
    job.markEnded(state.nowMs());
    job.markRecorded();
    job.acceptance().complete(null);
    state.notifyWaiters(job);
    state.jobs().remove(job);
  }

  /** Retries a claim of unknown outcome; all tasks are in doubt until the outcome is known. */
  private void retryClaimLater(Job job, JournalException e) {
    job.reason(new Reason(ReasonType.LOG_UNAVAILABLE, e.explanation()));
    job.tasks().forEach(task -> task.phase(Phase.IN_DOUBT));
    CompletableFuture.delayedExecutor(CLAIM_RETRY_MS, TimeUnit.MILLISECONDS)
        .execute(() -> retryClaim(job));
  }

  /** Called without the lock. */
  private void retryClaim(Job job) {
    synchronized (state.lock()) {
      if (!state.closed()) {
        claim(job);
      }
    }
    state.dispatch();
  }

  /** Ends a job of which no task was started. */
  private void endUnstarted(Job job, ReasonType type, String message) {
    job.reason(new Reason(type, message));
    job.tasks().forEach(task -> task.phase(Phase.NOT_RUN));
    state.completeIfEnded(job);
  }

  /** Submits the waiting tasks of an open job to the scheduler; does nothing if it was done. */
  void enqueue(Job job) {
    if (job.queued() || !job.confirmedOpen() || job.ended() || job.cancelled()) {
      return;
    }
    List<TaskId> attempts =
        job.tasks().stream()
            .filter(task -> task.phase() == Phase.WAITING)
            .map(task -> job.nextAttempt(task))
            .toList();
    job.queued(true);
    if (!attempts.isEmpty()) {
      state.scheduler().submit(job.jobId(), job.spec(), attempts, state.nowMs());
    }
  }

  /** Restores a job from the log. */
  void restore(LedgerJob known, boolean reconciled) {
    Job job = state.jobs().byId(known.jobId());
    if (job == null) {
      if (state.jobs().byKey(known.spec().request()) != null) {
        return;
      }
      job = new Job(known.jobId(), known.spec(), state.nowMs());
      state.jobs().add(job);
    }
    if (job.ended()) {
      return;
    }
    if (!job.queued()) {
      LedgerRestore.restoreTasks(job, known, state.jobs());
    }
    LedgerEntry.Finished finished = known.finished();
    if (finished != null) {
      job.reason(finished.reason());
      job.markEnded(state.nowMs());
      job.markRecorded();
      state.jobs().retainEnded(job);
      state.notifyWaiters(job);
      return;
    }
    job.confirmOpen();
    if (reconciled) {
      enqueue(job);
    }
    state.completeIfEnded(job);
  }
}
