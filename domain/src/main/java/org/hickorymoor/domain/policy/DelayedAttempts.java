package org.hickorymoor.domain.policy;

import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import org.hickorymoor.domain.job.TaskId;

/** Attempts and jobs that return to the queue after a delay. */
final class DelayedAttempts {

  private final PriorityQueue<Delayed> queue = new PriorityQueue<>();

  /** Delays an attempt that is not waiting yet. */
  void addAttempt(QueuedJob job, TaskId task, long dueMs) {
    job.backingOff++;
    queue.add(new Delayed(dueMs, job, List.of(task)));
  }

  /** Delays a job with all its waiting attempts. */
  void addJob(QueuedJob job, long dueMs) {
    queue.add(new Delayed(dueMs, job, List.of()));
  }

  /** Passes the due entries to the target, except those of dropped jobs. */
  void release(long nowMs, BiConsumer<QueuedJob, List<TaskId>> target) {
    Delayed first = queue.peek();
    while (first != null && first.dueMs <= nowMs) {
      queue.remove();
      first.job.backingOff -= first.tasks.size();
      if (!first.job.dropped) {
        target.accept(first.job, first.tasks);
      }
      first = queue.peek();
    }
  }

  private record Delayed(long dueMs, QueuedJob job, List<TaskId> tasks)
      implements Comparable<Delayed> {
    @Override
    public int compareTo(Delayed other) {
      return Long.compare(dueMs, other.dueMs);
    }
  }
}
