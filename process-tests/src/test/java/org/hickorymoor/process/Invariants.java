package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks, from the records of the workers, the invariants that must hold under any failure. */
final class Invariants {

  /** One run of a task on a worker, in time of the machine's clock. */
  private record Run(String taskId, long fromMs, long toMs) {}

  private Invariants() {}

  /** Checks that no worker was overloaded and that no task ran twice at the same time. */
  static void check(Cell cell) {
    List<JsonObject> records = cell.workerRecords();
    for (JsonObject record : records) {
      assertWithMessage("overloads").that(record.getAsJsonArray("overloads")).isEmpty();
      assertWithMessage("double runs").that(record.getAsJsonArray("doubleRuns")).isEmpty();
    }
    assertWithMessage("overlapping runs of one task").that(overlappingRuns(records)).isEmpty();
  }

  /** Checks that, on every worker, no term starts tasks again after another term has. */
  static void checkTermsDoNotInterleave(Cell cell) {
    for (JsonObject record : cell.workerRecords()) {
      List<String> terms = new ArrayList<>();
      for (Run run : runs(record)) {
        String term = run.taskId().substring(run.taskId().lastIndexOf('~') + 1);
        if (terms.isEmpty() || !terms.get(terms.size() - 1).equals(term)) {
          terms.add(term);
        }
      }
      assertWithMessage("terms that started tasks on a worker").that(terms).containsNoDuplicates();
    }
  }

  private static List<String> overlappingRuns(List<JsonObject> records) {
    Map<String, List<Run>> byTask = new HashMap<>();
    for (JsonObject record : records) {
      runs(record)
          .forEach(
              run ->
                  byTask
                      .computeIfAbsent(taskWithoutAttempt(run.taskId()), key -> new ArrayList<>())
                      .add(run));
    }
    List<String> found = new ArrayList<>();
    for (List<Run> runs : byTask.values()) {
      runs.sort(Comparator.comparingLong(Run::fromMs));
      for (int i = 1; i < runs.size(); i++) {
        if (runs.get(i).fromMs() < runs.get(i - 1).toMs()) {
          found.add(runs.get(i - 1) + " and " + runs.get(i));
        }
      }
    }
    return found;
  }

  private static List<Run> runs(JsonObject record) {
    Map<String, Long> ends = new HashMap<>();
    for (JsonElement end : record.getAsJsonArray("ended")) {
      JsonObject ended = end.getAsJsonObject();
      ends.put(ended.get("taskId").getAsString(), ended.get("hostMs").getAsLong());
    }
    List<Run> runs = new ArrayList<>();
    for (JsonElement start : record.getAsJsonArray("starts")) {
      JsonObject started = start.getAsJsonObject();
      String taskId = started.get("taskId").getAsString();
      if (!taskId.startsWith("hold:")) {
        long toMs = ends.getOrDefault(taskId, Long.MAX_VALUE);
        runs.add(new Run(taskId, started.get("hostMs").getAsLong(), toMs));
      }
    }
    return runs;
  }

  /** Returns {@code jobId/index} of {@code jobId/index/attempt~tag}. */
  private static String taskWithoutAttempt(String workerTaskId) {
    return workerTaskId.substring(0, workerTaskId.lastIndexOf('/'));
  }
}
