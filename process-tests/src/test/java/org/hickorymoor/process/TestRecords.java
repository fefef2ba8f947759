package org.hickorymoor.process;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.HashSet;
import java.util.Set;

/** Builds job records of team {@code team} and completes the records of killed workers. */
final class TestRecords {

  private static final int CPU_MILLIS = 100;
  private static final int MEMORY_MB = 64;

  private TestRecords() {}

  /** Returns a batch job whose tasks run for {@code runMs} and return {@code output}. */
  static String batch(String key, String jobClass, int tasks, long runMs, String output) {
    return record(key, "batch", tasks, runMs, output, true).replace("normal", jobClass);
  }

  /** Returns a non-repeatable batch job of one task. */
  static String atMostOnce(String key, long runMs) {
    return record(key, "batch", 1, runMs, "plate", false);
  }

  static String allAtOnce(String key, int tasks, long runMs) {
    return record(key, "all-at-once", tasks, runMs, "together", true);
  }

  static String service(String key, int tasks) {
    return record(key, "service", tasks, -1, "", true);
  }

  /** Returns a repeatable one-task batch job placed in a failure domain, in schema version 2. */
  static String inDomain(String domain, String key, long runMs) {
    JsonObject record =
        JsonParser.parseString(batch(key, "normal", 1, runMs, "far")).getAsJsonObject();
    JsonObject demand = new JsonObject();
    demand.add("cpuMillis", record.remove("cpuMillis"));
    demand.add("memoryMb", record.remove("memoryMb"));
    JsonObject tasks = new JsonObject();
    tasks.add("payload", record.remove("payload"));
    tasks.add("demand", demand);
    JsonObject placement = new JsonObject();
    placement.addProperty("domain", domain);
    record.addProperty("schemaVersion", 2);
    record.add("tasks", tasks);
    record.add("placement", placement);
    return record.toString();
  }

  private static String record(
      String key, String kind, int tasks, long runMs, String output, boolean repeatable) {
    JsonObject payload = new JsonObject();
    payload.addProperty("sleepMs", runMs);
    payload.addProperty("output", output);
    JsonObject record = new JsonObject();
    record.addProperty("schemaVersion", 1);
    record.addProperty("team", "team");
    record.addProperty("key", key);
    record.addProperty("name", "test");
    record.addProperty("kind", kind);
    record.addProperty("class", "normal");
    record.addProperty("tasks", tasks);
    record.addProperty("cpuMillis", CPU_MILLIS);
    record.addProperty("memoryMb", MEMORY_MB);
    record.addProperty("repeatable", repeatable);
    record.addProperty("payload", payload.toString());
    return record.toString();
  }

  /** Returns a copy of a worker's record in which open runs end at {@code hostMs}. */
  static JsonObject withOpenRunsEndedAt(JsonObject workerRecord, long hostMs) {
    JsonObject completed = workerRecord.deepCopy();
    JsonArray ends = completed.getAsJsonArray("ended");
    Set<String> ended = new HashSet<>();
    for (JsonElement end : ends) {
      ended.add(end.getAsJsonObject().get("taskId").getAsString());
    }
    for (JsonElement start : completed.getAsJsonArray("starts")) {
      String taskId = start.getAsJsonObject().get("taskId").getAsString();
      if (ended.add(taskId)) {
        JsonObject end = new JsonObject();
        end.addProperty("taskId", taskId);
        end.addProperty("hostMs", hostMs);
        ends.add(end);
      }
    }
    return completed;
  }
}
