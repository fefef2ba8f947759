package org.hickorymoor.daemon.shard;

import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded set of the most recently added job ids. Thread-safe. */
final class RecentJobIds {

  private final Map<String, Boolean> jobs;

  RecentJobIds(int limit) {
    jobs =
        new LinkedHashMap<>() {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > limit;
          }
        };
  }

  synchronized void add(String jobId) {
    jobs.put(jobId, true);
  }

  synchronized boolean contains(String jobId) {
    return jobs.containsKey(jobId);
  }
}
