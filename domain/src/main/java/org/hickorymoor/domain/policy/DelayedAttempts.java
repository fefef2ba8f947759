package org.hickorymoor.domain.policy;

import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import org.hickorymoor.domain.job.TaskId;

/** Holds attempts back until their back-off has passed. */
final class DelayedAttempts {

  private final PriorityQueue<Delayed> queue = new PriorityQueue<>();

  void add(QueuedJob job, TaskId task, long dueMs) {
    job.backingOff++;
    queue.add(new Delayed(dueMs, job, task));
  }

  /** Hands over every attempt that is due, except those of dropped jobs. */
  void release(long nowMs, BiConsumer<QueuedJob, TaskId> target) {
    Delayed first = queue.peek();
    while (first != null && first.dueMs <= nowMs) {
      queue.remove();
      first.job.backingOff--;
      if (!first.job.dropped) {
        target.accept(first.job, first.task);
      }
      first = queue.peek();
    }
  }

  private record Delayed(long dueMs, QueuedJob job, TaskId task) implements Comparable<Delayed> {
    @Override
    public int compareTo(Delayed other) {
      return Long.compare(dueMs, other.dueMs);
    }
  }
}
