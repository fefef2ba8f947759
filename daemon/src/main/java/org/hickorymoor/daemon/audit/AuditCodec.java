package org.hickorymoor.daemon.audit;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Encodes and decodes audit entries as JSON. The keys are the component names of the entry. */
final class AuditCodec {

  private static final Gson GSON = new Gson();

  private AuditCodec() {}

  static String encode(AuditEntry entry) {
    return GSON.toJson(entry);
  }

  /** Decodes an entry; empty if the JSON is not a valid one. */
  static Optional<AuditEntry> decode(JsonElement json) {
    try {
      @Nullable AuditEntry entry = GSON.fromJson(json, AuditEntry.class);
      return Optional.ofNullable(entry);
    } catch (JsonParseException | NullPointerException e) {
      return Optional.empty();
    }
  }
}
