package org.hickorymoor.daemon.coordinator;

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

/** Takes jobs on, from callers and from the log. Guarded by the lock of its cell. */
final class JobIntake {

  private static final long CLAIM_AGAIN_MS = 500;

  private final CellState state;

  JobIntake(CellState state) {
    this.state = state;
  }

  /** Records a new job, and queues it once its record allows. */
  void record(Job job) {
    job.want();
    if (!job.spec().repeatable()) {
      claim(job, state.restored());
      return;
    }
    if (state.settled()) {
      enqueue(job);
    }
    state.later(
        () ->
            state
                .context()
                .journal()
                .accepted(job.jobId(), job.spec())
                .whenComplete((done, failure) -> accepted(job, failure)));
  }

  /** Called without the lock. */
  private static void accepted(Job job, @Nullable Throwable failure) {
    if (failure == null) {
      job.acceptance().complete(null);
    } else {
      job.acceptance().completeExceptionally(failure);
    }
  }

  /** Claims the key of a job, once the log's claims and placements are known here. */
  private void claim(Job job, boolean restored) {
    if (!restored) {
      String message = "The log has not been read since this coordinator took over.";
      refuse(job, new JournalException(JournalException.Type.LOG_OUT, message));
      return;
    }
    state.later(
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
        end(job, job.reason().type(), job.reason().message());
      } else if (failure == null && job.jobId().equals(jobId)) {
        cleared(job);
        enqueue(job);
      } else if (jobId != null) {
        rename(job, jobId);
      } else if (WorkerAgent.unwrap(failure) instanceof JournalException e) {
        refuse(job, e);
      }
    }
    state.pump();
  }

  /** Goes on under the name by which the domain claimed the key earlier. */
  private void rename(Job job, String jobId) {
    state.jobs().remove(job);
    Job renamed = state.jobs().byId(jobId);
    if (renamed == null) {
      state.context().journal().find(jobId).ifPresent(known -> restore(known, true));
      renamed = state.jobs().byId(jobId);
    }
    if (renamed == null) {
      renamed = new Job(jobId, job.spec(), job.acceptedMs());
      state.jobs().add(renamed);
    }
    renamed.want();
    job.takeWaiters().forEach(renamed::await);
    if (renamed.ended()) {
      state.notifyWaiters(renamed);
    }
    enqueue(renamed);
  }

  private static void cleared(Job job) {
    job.reason(Reason.NONE);
    job.tasks().stream()
        .filter(task -> task.phase() == Phase.IN_DOUBT)
        .forEach(task -> task.phase(Phase.WAITING));
  }

  private void refuse(Job job, JournalException e) {
    if (e.type() == JournalException.Type.UNKNOWN) {
      job.maybeClaim();
    }
    if (job.maybeClaimed() && e.type() != JournalException.Type.CLAIMED_ELSEWHERE) {
      claimAgainLater(job, e);
      return;
    }
    ReasonType type =
        e.type() == JournalException.Type.CLAIMED_ELSEWHERE
            ? ReasonType.KEY_REUSED
            : ReasonType.LOG_UNAVAILABLE;
    job.reason(new Reason(type, e.explanation()));
    job.tasks().forEach(task -> task.phase(Phase.NOT_RUN));
    job.end(state.nowMs());
    job.record();
    state.notifyWaiters(job);
    state.jobs().remove(job);
  }

  /** A claim that may stand in the log is repeated until it is known; till then all is in doubt. */
  private void claimAgainLater(Job job, JournalException e) {
    job.reason(new Reason(ReasonType.LOG_UNAVAILABLE, e.explanation()));
    job.tasks().forEach(task -> task.phase(Phase.IN_DOUBT));
    CompletableFuture.delayedExecutor(CLAIM_AGAIN_MS, TimeUnit.MILLISECONDS)
        .execute(() -> claimAgain(job));
  }

  /** Called without the lock. */
  private void claimAgain(Job job) {
    synchronized (state.lock()) {
      if (!state.closed()) {
        claim(job, true);
      }
    }
    state.pump();
  }

  /** Ends a job none of whose tasks has been started. */
  private void end(Job job, ReasonType type, String message) {
    job.reason(new Reason(type, message));
    job.tasks().forEach(task -> task.phase(Phase.NOT_RUN));
    state.completeIfEnded(job);
  }

  /** Gives the waiting tasks of a job to the scheduler, once. */
  void enqueue(Job job) {
    if (job.queued() || !job.wanted() || job.ended() || job.cancelled()) {
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

  /** Takes in what the log knows of a job. */
  void restore(LedgerJob known, boolean settled) {
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
      LedgerRestore.into(job, known, state.jobs());
    }
    LedgerEntry.Finished finished = known.finished();
    if (finished != null) {
      job.reason(finished.reason());
      job.end(state.nowMs());
      job.record();
      state.jobs().keepEnded(job);
      state.notifyWaiters(job);
      return;
    }
    job.want();
    if (settled) {
      enqueue(job);
    }
    state.completeIfEnded(job);
  }
}
