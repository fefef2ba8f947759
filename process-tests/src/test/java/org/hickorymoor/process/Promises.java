package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks from the outside, by what workers saw, what must hold whatever fails. */
final class Promises {

  /** One run of a task on a worker, on the machine's clock. */
  private record Run(String taskId, long fromMs, long toMs) {}

  private Promises() {}

  /** Checks that no worker was overfilled and that no task ran twice at the same time. */
  static void check(Cell cell) {
    List<JsonObject> records = cell.workerRecords();
    for (JsonObject record : records) {
      assertWithMessage("overloads").that(record.getAsJsonArray("overloads")).isEmpty();
      assertWithMessage("double runs").that(record.getAsJsonArray("doubleRuns")).isEmpty();
    }
    assertWithMessage("runs in two places at once").that(overlaps(records)).isEmpty();
  }

  /** Checks that on no worker a term of a coordinator went on starting tasks after another's. */
  static void checkTermsInSequence(Cell cell) {
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

  private static List<String> overlaps(List<JsonObject> records) {
    Map<String, List<Run>> byTask = new HashMap<>();
    for (JsonObject record : records) {
      runs(record)
          .forEach(
              run ->
                  byTask.computeIfAbsent(taskOf(run.taskId()), key -> new ArrayList<>()).add(run));
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

  /** Returns job and index of {@code jobId/index/attempt~tag}. */
  private static String taskOf(String workerTaskId) {
    return workerTaskId.substring(0, workerTaskId.lastIndexOf('/'));
  }
}
