package org.hickorymoor.standins.worker;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import org.jspecify.annotations.Nullable;

/**
 * What a task does, as the stand-in reads it; every field may be absent.
 *
 * @param sleepMs time to run at full speed; below 0 until stopped
 * @param output result
 * @param exitCode exit code, 0 for success
 * @param cpuMillis true processor use, or null for that demanded
 * @param memoryMb true memory use, or null for that demanded
 */
record Payload(
    long sleepMs,
    @Nullable String output,
    int exitCode,
    @Nullable Integer cpuMillis,
    @Nullable Integer memoryMb) {

  private static final Gson GSON = new Gson();
  private static final int EXIT_UNREADABLE = 127;
  private static final Payload EMPTY = new Payload(0, "", 0, null, null);

  /** Reads a payload; one that can't be read gives a task that fails at once. */
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

  /** Returns a payload that fails at once. */
  static Payload failing(String message) {
    return new Payload(0, message, EXIT_UNREADABLE, null, null);
  }
}
