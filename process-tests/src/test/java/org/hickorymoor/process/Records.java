package org.hickorymoor.process;

import com.google.gson.JsonObject;

/** Makes job records of team {@code team}. */
final class Records {

  private static final int CPU_MILLIS = 100;
  private static final int MEMORY_MB = 64;

  private Records() {}

  /** A batch job whose tasks run for a time and then give a text. */
  static String batch(String key, String jobClass, int tasks, long runMs, String output) {
    return record(key, "batch", tasks, runMs, output, true).replace("normal", jobClass);
  }

  /** A batch job of one task that must run at most once. */
  static String once(String key, long runMs) {
    return record(key, "batch", 1, runMs, "plate", false);
  }

  static String allAtOnce(String key, int tasks, long runMs) {
    return record(key, "all-at-once", tasks, runMs, "together", true);
  }

  static String service(String key, int tasks) {
    return record(key, "service", tasks, -1, "", true);
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
}
