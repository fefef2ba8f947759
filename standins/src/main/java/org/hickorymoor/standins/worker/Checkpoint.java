package org.hickorymoor.standins.worker;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.util.Optional;

/**
 * State of a task from which a later start resumes it.
 *
 * @param remainingMs remaining run time at full speed; negative for a task that runs until stopped
 */
record Checkpoint(long remainingMs) {

  private static final Gson GSON = new Gson();

  static Optional<Checkpoint> read(String token) {
    try {
      return Optional.ofNullable(GSON.fromJson(token, Checkpoint.class));
    } catch (JsonParseException e) {
      return Optional.empty();
    }
  }

  String token() {
    return GSON.toJson(this);
  }
}
