package org.hickorymoor.domain.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorymoor.domain.job.TaskId;

/**
 * The jobs of one failure domain, as read from the log.
 *
 * <p>A placement is valid only if its term was the latest when it was appended. A host that was
 * superseded while it was paused thus reads that its placement is void, and starts nothing. Not
 * thread-safe.
 */
public final class JobLedger {

  private final Map<String, LedgerJob> jobs = new LinkedHashMap<>();
  private final Map<String, LedgerEntry.Finished> evicted = new LinkedHashMap<>();
  private final int maxFinished;
  private int finishedCount;
  private String termId = "";

  /**
   * Creates an empty ledger.
   *
   * @param maxFinished maximum number of finished jobs to retain
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
    if (entry instanceof LedgerEntry.TermStarted started) {
      termId = started.termId();
    } else if (entry instanceof LedgerEntry.Accepted accepted) {
      jobs.putIfAbsent(accepted.jobId(), new LedgerJob(accepted));
    } else if (entry instanceof LedgerEntry.Placed placed) {
      addPlacement(placed);
    } else if (entry instanceof LedgerEntry.Ended ended) {
      find(ended.task().jobId()).ifPresent(job -> job.addEnd(ended));
    } else if (entry instanceof LedgerEntry.Finished finished) {
      applyFinished(finished);
    }
  }

  private void applyFinished(LedgerEntry.Finished finished) {
    LedgerJob job = jobs.get(finished.jobId());
    if (job == null) {
      // The entry that accepted the job is no longer in the log.
      evicted.put(finished.jobId(), finished);
    } else {
      finish(job, finished);
    }
  }

  private void addPlacement(LedgerEntry.Placed placed) {
    if (placed.termId().equals(termId)) {
      find(placed.task().jobId()).ifPresent(job -> job.addPlacement(placed));
    }
  }

  private void finish(LedgerJob job, LedgerEntry.Finished finished) {
    if (job.finished() == null) {
      finishedCount++;
    }
    job.finish(finished);
    if (finishedCount > maxFinished) {
      evictOldestFinished();
    }
  }

  private void evictOldestFinished() {
    for (LedgerJob job : jobs.values()) {
      LedgerEntry.Finished finished = job.finished();
      if (finished != null) {
        jobs.remove(job.jobId());
        if (!job.spec().repeatable()) {
          evicted.put(job.jobId(), finished);
        }
        finishedCount--;
        return;
      }
    }
  }

  /**
   * Returns the current term, which is the one started last.
   *
   * @return id of the term, or an empty string if none has started
   */
  public String termId() {
    return termId;
  }

  /**
   * Finds a job.
   *
   * @param jobId id of the job
   * @return the job, or empty if it is unknown
   */
  public Optional<LedgerJob> find(String jobId) {
    return Optional.ofNullable(jobs.get(jobId));
  }

  /**
   * Returns whether a job that must run at most once has finished and was then evicted.
   *
   * @param jobId id of the job
   * @return true if the job must not be started again although the ledger no longer contains it
   */
  public boolean wasEvicted(String jobId) {
    return evicted.containsKey(jobId);
  }

  /**
   * Returns whether an attempt is the open placement of its task.
   *
   * @param task the attempt
   * @param placedBy id of the term that placed it
   * @return true if the log contains the placement and its term had not been superseded by then
   */
  public boolean isCurrentPlacement(TaskId task, String placedBy) {
    return find(task.jobId())
        .map(job -> job.openPlacement(task.index()))
        .filter(placed -> placed.task().equals(task) && placed.termId().equals(placedBy))
        .isPresent();
  }

  /**
   * Forgets evicted jobs, except for some.
   *
   * @param jobIds ids of the jobs to keep: those whose claim of a key is still valid
   */
  public void retainEvicted(Set<String> jobIds) {
    evicted.keySet().retainAll(jobIds);
  }

  /**
   * Returns all jobs in order of acceptance.
   *
   * @return the jobs
   */
  public Collection<LedgerJob> jobs() {
    return List.copyOf(jobs.values());
  }

  /**
   * Returns the entries that must be appended again before log retention drops them: those of open
   * jobs, and of finished or evicted jobs that must not run again.
   *
   * @param beforeMs wall-clock time; only jobs accepted earlier are included
   * @return entries from which an empty ledger restores the same state of these jobs
   */
  public List<LedgerEntry> snapshot(long beforeMs) {
    List<LedgerEntry> entries = new ArrayList<>(evicted.values());
    for (LedgerJob job : jobs.values()) {
      boolean isOld = job.acceptedAtMs() < beforeMs;
      if (isOld && job.finished() != null && !job.spec().repeatable()) {
        entries.add(new LedgerEntry.Accepted(job.jobId(), job.spec(), job.acceptedAtMs()));
        entries.add(job.finished());
      } else if (isOld && job.finished() == null) {
        entries.add(new LedgerEntry.Accepted(job.jobId(), job.spec(), job.acceptedAtMs()));
        for (int index = 0; index < job.spec().taskCount(); index++) {
          addTaskEntries(entries, job, index);
        }
      }
    }
    return entries;
  }

  private void addTaskEntries(List<LedgerEntry> entries, LedgerJob job, int index) {
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
