package org.hickorymoor.standins.worker;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.util.Optional;

/**
 * A token that resumes a task where it stood.
 *
 * @param remainingMs time still to run at full speed; below 0 until stopped
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
