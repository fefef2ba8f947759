package org.hickorymoor.daemon.shard;

import org.jspecify.annotations.Nullable;

/** Keys of submissions and cancellations in the submission partitions. */
final class SubmissionKeys {

  private static final String SUBMITTED = "s:";
  private static final String CANCELLED = "c:";

  private SubmissionKeys() {}

  static String submitted(String jobId) {
    return SUBMITTED + jobId;
  }

  static String cancelled(String jobId) {
    return CANCELLED + jobId;
  }

  static @Nullable String submittedJob(String key) {
    return key.startsWith(SUBMITTED) ? key.substring(SUBMITTED.length()) : null;
  }

  static @Nullable String cancelledJob(String key) {
    return key.startsWith(CANCELLED) ? key.substring(CANCELLED.length()) : null;
  }
}
