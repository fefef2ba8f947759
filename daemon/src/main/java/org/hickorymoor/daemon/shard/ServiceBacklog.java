package org.hickorymoor.daemon.shard;

import java.util.HashSet;
import java.util.Set;
import org.hickorymoor.domain.workload.StepSpec;
import org.jspecify.annotations.Nullable;

/**
 * The work that the open jobs of one service still need, and the demand of their waiting tasks.
 *
 * <p>Waiting work of jobs whose results would come too late goes behind all other work. It counts
 * unless tasks of such jobs are being started, which shows that no useful work waits; counting it
 * would then keep useful jobs out while the workers run useless ones. Not thread-safe.
 */
final class ServiceBacklog {

  /**
   * Mean resource requests of waiting tasks.
   *
   * @param cpuMillis thousandths of a core
   * @param memoryMb memory
   * @param accelerators number of accelerators
   */
  record MeanDemand(long cpuMillis, long memoryMb, long accelerators) {}

  /** Weight of the latest start in the moving average of the share of stale starts. */
  private static final double START_WEIGHT = 1.0 / 64;

  /** A few stale starts in a gap between useful ones don't show that no useful work waits. */
  private static final double MAX_STALE_START_SHARE = 0.05;

  private final WorkSums useful = new WorkSums();
  private final WorkSums stale = new WorkSums();
  private double staleStartShare;
  private long waitingTasks;
  private long waitingCpuMillis;
  private long waitingMemoryMb;
  private long waitingAccelerators;

  /** Adds work, which may be negative. */
  void addWork(@Nullable String customer, long precedence, long usefulCoreMs, long staleCoreMs) {
    useful.add(customer, precedence, usefulCoreMs);
    stale.add(customer, precedence, staleCoreMs);
  }

  /** Adds waiting tasks of a step; a negative number removes them. */
  void addWaiting(StepSpec step, long tasks) {
    waitingTasks += tasks;
    waitingCpuMillis += tasks * step.reservedCpuMillis();
    waitingMemoryMb += tasks * step.memoryMb();
    waitingAccelerators += tasks * step.accelerators();
  }

  /** Records the start of a task, of a job whose results would come too late or of another one. */
  void recordStart(boolean isStale) {
    staleStartShare += START_WEIGHT * ((isStale ? 1 : 0) - staleStartShare);
  }

  private boolean countsStale() {
    return staleStartShare < MAX_STALE_START_SHARE;
  }

  /** Returns the work of a customer's jobs up to a precedence, in core-milliseconds. */
  long customerCoreMs(String customer, long precedence) {
    return useful.of(customer, precedence) + (countsStale() ? stale.of(customer, precedence) : 0);
  }

  /** Returns the work of all jobs up to a precedence, in core-milliseconds. */
  long totalCoreMs(long precedence) {
    return useful.total(precedence) + (countsStale() ? stale.total(precedence) : 0);
  }

  /** Returns the customers that have work. */
  Set<String> customers() {
    Set<String> names = new HashSet<>(useful.customers());
    names.addAll(stale.customers());
    return names;
  }

  /** Returns the mean demand of the waiting tasks, or null if none waits. */
  @Nullable MeanDemand meanWaitingDemand() {
    if (waitingTasks <= 0) {
      return null;
    }
    return new MeanDemand(
        waitingCpuMillis / waitingTasks,
        waitingMemoryMb / waitingTasks,
        Math.round((double) waitingAccelerators / waitingTasks));
  }
}
