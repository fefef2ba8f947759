package org.hickorymoor.standins.worker;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import org.jspecify.annotations.Nullable;

/**
 * Behavior of a simulated task, read from its payload; every field may be absent.
 *
 * @param sleepMs run time at full speed; negative for a task that runs until stopped
 * @param output output of the task
 * @param exitCode exit code, 0 for success
 * @param cpuMillis actual CPU usage, or null to use the demand
 * @param memoryMb actual memory usage, or null to use the demand
 */
record Payload(
    long sleepMs,
    @Nullable String output,
    int exitCode,
    @Nullable Integer cpuMillis,
    @Nullable Integer memoryMb) {

  private static final Gson GSON = new Gson();
  private static final int EXIT_INVALID_PAYLOAD = 127;
  private static final Payload EMPTY = new Payload(0, "", 0, null, null);

  /** Parses a payload; a malformed one yields a task that fails immediately. */
  static Payload read(@Nullable String text) {
    if (text == null || text.isBlank()) {
      return EMPTY;
    }
    try {
      Payload payload = GSON.fromJson(text, Payload.class);
      return payload == null ? EMPTY : payload;
    } catch (JsonParseException e) {
      return failing("expected a payload in JSON, got: " + e.getMessage());
    }
  }

  /** Returns a payload of a task that fails immediately. */
  static Payload failing(String message) {
    return new Payload(0, message, EXIT_INVALID_PAYLOAD, null, null);
  }
}
