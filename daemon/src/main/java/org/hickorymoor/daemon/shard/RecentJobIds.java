package org.hickorymoor.daemon.shard;

import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers the newest names of jobs up to a number. Safe for use by several threads. */
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
