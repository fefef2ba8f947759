package org.hickorymoor.domain.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorymoor.domain.job.TaskId;

/**
 * What the log says of the jobs of one failure domain.
 *
 * <p>A placement counts only if its term is the one that took over last: a host that was superseded
 * while it paused reads that its placement is void, and starts nothing. Not thread-safe.
 */
public final class JobLedger {

  private final Map<String, LedgerJob> jobs = new LinkedHashMap<>();
  private final Set<String> dropped = new HashSet<>();
  private final int maxFinished;
  private int finishedCount;
  private String termId = "";

  /**
   * Makes an empty ledger.
   *
   * @param maxFinished most jobs that are kept after their end
   */
  public JobLedger(int maxFinished) {
    this.maxFinished = maxFinished;
  }

  /**
   * Applies the next entry of the log.
   *
   * @param entry the entry
   */
  public void apply(LedgerEntry entry) {
    if (entry instanceof LedgerEntry.Epoch epoch) {
      termId = epoch.termId();
    } else if (entry instanceof LedgerEntry.Accepted accepted) {
      jobs.putIfAbsent(accepted.jobId(), new LedgerJob(accepted));
    } else if (entry instanceof LedgerEntry.Placed placed) {
      place(placed);
    } else if (entry instanceof LedgerEntry.Ended ended) {
      find(ended.task().jobId()).ifPresent(job -> job.addEnd(ended));
    } else if (entry instanceof LedgerEntry.Finished finished) {
      find(finished.jobId()).ifPresent(job -> finish(job, finished));
    }
  }

  private void place(LedgerEntry.Placed placed) {
    if (placed.termId().equals(termId)) {
      find(placed.task().jobId()).ifPresent(job -> job.place(placed));
    }
  }

  private void finish(LedgerJob job, LedgerEntry.Finished finished) {
    if (job.finished() == null) {
      finishedCount++;
    }
    job.finish(finished);
    if (finishedCount > maxFinished) {
      dropOldestFinished();
    }
  }

  private void dropOldestFinished() {
    for (LedgerJob job : jobs.values()) {
      if (job.finished() != null) {
        jobs.remove(job.jobId());
        if (!job.spec().repeatable()) {
          dropped.add(job.jobId());
        }
        finishedCount--;
        return;
      }
    }
  }

  /**
   * Returns the term that took over last.
   *
   * @return its id, or an empty text if none has
   */
  public String termId() {
    return termId;
  }

  /**
   * Finds a job.
   *
   * @param jobId the job
   * @return what the log says of it, or empty
   */
  public Optional<LedgerJob> find(String jobId) {
    return Optional.ofNullable(jobs.get(jobId));
  }

  /**
   * Tells whether a job that must run at most once has ended and was dropped since.
   *
   * @param jobId the job
   * @return true if it must not be started again although nothing else is known of it
   */
  public boolean hasDropped(String jobId) {
    return dropped.contains(jobId);
  }

  /**
   * Tells whether a placement stands.
   *
   * @param task the attempt
   * @param placedBy the term that placed it
   * @return true if the log holds it and its term had not been superseded
   */
  public boolean stands(TaskId task, String placedBy) {
    return find(task.jobId())
        .map(job -> job.openPlacement(task.index()))
        .filter(placed -> placed.task().equals(task) && placed.termId().equals(placedBy))
        .isPresent();
  }

  /**
   * Returns every job in the order of acceptance.
   *
   * @return the jobs
   */
  public Collection<LedgerJob> jobs() {
    return List.copyOf(jobs.values());
  }

  /**
   * Writes what must be kept of open jobs, and of ended ones that must not run again, to be
   * appended again before retention drops it.
   *
   * @param beforeMs only jobs accepted before this wall-clock time
   * @return entries that bring an empty ledger to the same state of these jobs
   */
  public List<LedgerEntry> snapshot(long beforeMs) {
    List<LedgerEntry> entries = new ArrayList<>();
    for (LedgerJob job : jobs.values()) {
      boolean isOld = job.acceptedAtMs() < beforeMs;
      if (isOld && job.finished() != null && !job.spec().repeatable()) {
        entries.add(new LedgerEntry.Accepted(job.jobId(), job.spec(), job.acceptedAtMs()));
        entries.add(job.finished());
      } else if (isOld && job.finished() == null) {
        entries.add(new LedgerEntry.Accepted(job.jobId(), job.spec(), job.acceptedAtMs()));
        for (int index = 0; index < job.spec().taskCount(); index++) {
          addTask(entries, job, index);
        }
      }
    }
    return entries;
  }

  private void addTask(List<LedgerEntry> entries, LedgerJob job, int index) {
    LedgerEntry.Ended end = job.end(index);
    if (end != null) {
      entries.add(end);
    }
    LedgerEntry.Placed open = job.openPlacement(index);
    if (open != null) {
      entries.add(
          new LedgerEntry.Placed(
              open.task(), open.workerTaskId(), open.workerId(), open.workerIncarnation(), termId));
    }
  }
}
