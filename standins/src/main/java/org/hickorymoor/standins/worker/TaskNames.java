package org.hickorymoor.standins.worker;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads task ids of the form jobId/index/attempt, and bears any other. */
final class TaskNames {

  private static final Pattern ATTEMPT = Pattern.compile("([^/]+/\\d+)/\\d+");

  private TaskNames() {}

  /** Returns what all attempts at a task have in common; the whole id if it has another form. */
  static String withoutAttempt(String taskId) {
    Matcher attempt = ATTEMPT.matcher(taskId);
    return attempt.matches() ? attempt.group(1) : taskId;
  }

  /** Returns the part before the first slash. */
  static String jobOf(String taskId) {
    int slash = taskId.indexOf('/');
    return slash < 0 ? taskId : taskId.substring(0, slash);
  }
}
