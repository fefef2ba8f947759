package org.hickorymoor.standins.worker;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses task ids of the form {@code jobId/index/attempt}; accepts ids of any other form. */
final class TaskIds {

  private static final Pattern ATTEMPT = Pattern.compile("([^/]+/\\d+)/\\d+");

  private TaskIds() {}

  /** Returns {@code jobId/index}, or the whole id if it has another form. */
  static String withoutAttempt(String taskId) {
    Matcher attempt = ATTEMPT.matcher(taskId);
    return attempt.matches() ? attempt.group(1) : taskId;
  }

  /** Returns the part before the first slash, or the whole id if it has none. */
  static String jobIdOf(String taskId) {
    int slash = taskId.indexOf('/');
    return slash < 0 ? taskId : taskId.substring(0, slash);
  }
}
