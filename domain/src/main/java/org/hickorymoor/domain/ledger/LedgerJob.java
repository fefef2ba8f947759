package org.hickorymoor.domain.ledger;

import java.util.HashMap;
import java.util.Map;
import org.hickorymoor.domain.job.JobSpec;
import org.jspecify.annotations.Nullable;

/** A job as read from the log. Not thread-safe. */
public final class LedgerJob {

  private final String jobId;
  private final JobSpec spec;
  private final long acceptedAtMs;
  private final Map<Integer, LedgerEntry.Placed> placed = new HashMap<>();
  private final Map<Integer, LedgerEntry.Ended> ended = new HashMap<>();
  private LedgerEntry.@Nullable Finished finished;

  LedgerJob(LedgerEntry.Accepted accepted) {
    this.jobId = accepted.jobId();
    this.spec = accepted.spec();
    this.acceptedAtMs = accepted.atMs();
  }

  /**
   * Returns the job's id.
   *
   * @return the job id
   */
  public String jobId() {
    return jobId;
  }

  /**
   * Returns the job's specification.
   *
   * @return the specification
   */
  public JobSpec spec() {
    return spec;
  }

  /**
   * Returns when the job was accepted.
   *
   * @return wall-clock time in ms since 1970
   */
  public long acceptedAtMs() {
    return acceptedAtMs;
  }

  /**
   * Returns the open placement of a task: its last one, if that attempt has not ended.
   *
   * @param index index of the task
   * @return the placement, or null if none is open
   */
  public LedgerEntry.@Nullable Placed openPlacement(int index) {
    LedgerEntry.Placed placement = placed.get(index);
    LedgerEntry.Ended end = ended.get(index);
    boolean over =
        placement != null && end != null && end.task().attempt() >= placement.task().attempt();
    return over ? null : placement;
  }

  /**
   * Returns the end of the last ended attempt at a task.
   *
   * @param index index of the task
   * @return the end, or null if no attempt has ended
   */
  public LedgerEntry.@Nullable Ended end(int index) {
    return ended.get(index);
  }

  /**
   * Returns the end of the job.
   *
   * @return the end, or null if the job is open
   */
  public LedgerEntry.@Nullable Finished finished() {
    return finished;
  }

  void addPlacement(LedgerEntry.Placed placement) {
    placed.merge(
        placement.task().index(),
        placement,
        (old, next) -> next.task().attempt() >= old.task().attempt() ? next : old);
  }

  void addEnd(LedgerEntry.Ended end) {
    ended.merge(
        end.task().index(),
        end,
        (old, next) -> next.task().attempt() >= old.task().attempt() ? next : old);
  }

  void finish(LedgerEntry.Finished end) {
    finished = end;
  }
}
