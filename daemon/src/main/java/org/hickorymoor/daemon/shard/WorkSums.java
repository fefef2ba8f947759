package org.hickorymoor.daemon.shard;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Sums of work by customer and precedence, in core-milliseconds. Not thread-safe. */
final class WorkSums {

  private final SortedMap<Long, Long> total = new TreeMap<>();
  private final Map<String, SortedMap<Long, Long>> byCustomer = new HashMap<>();

  /** Adds work, which may be negative, of a customer or of a job without one. */
  void add(@Nullable String customer, long precedence, long deltaCoreMs) {
    if (deltaCoreMs == 0) {
      return;
    }
    add(total, precedence, deltaCoreMs);
    if (customer != null) {
      SortedMap<Long, Long> own = byCustomer.computeIfAbsent(customer, name -> new TreeMap<>());
      add(own, precedence, deltaCoreMs);
      if (own.isEmpty()) {
        byCustomer.remove(customer);
      }
    }
  }

  private static void add(SortedMap<Long, Long> sums, long precedence, long deltaCoreMs) {
    sums.merge(precedence, deltaCoreMs, Long::sum);
    sums.remove(precedence, 0L);
  }

  /** Returns the work of all jobs up to a precedence. */
  long total(long precedence) {
    return upTo(total, precedence);
  }

  /** Returns the work of a customer's jobs up to a precedence. */
  long of(String customer, long precedence) {
    SortedMap<Long, Long> own = byCustomer.get(customer);
    return own == null ? 0 : upTo(own, precedence);
  }

  private static long upTo(SortedMap<Long, Long> sums, long precedence) {
    long sum = 0;
    for (Map.Entry<Long, Long> entry : sums.entrySet()) {
      if (entry.getKey() > precedence) {
        break;
      }
      sum += entry.getValue();
    }
    return sum;
  }

  /** Returns the customers that have work. */
  Set<String> customers() {
    return byCustomer.keySet();
  }
}
