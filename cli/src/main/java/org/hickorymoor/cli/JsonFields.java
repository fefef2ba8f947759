package org.hickorymoor.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.List;
import java.util.stream.StreamSupport;

/**
 * Reads fields of responses for display. Fields that a server of another release omits are shown as
 * {@code -}.
 */
final class JsonFields {

  private static final String ABSENT = "-";

  private JsonFields() {}

  static String text(JsonObject object, String name) {
    JsonElement value = object.get(name);
    if (value == null || value.isJsonNull()) {
      return ABSENT;
    }
    String text = value.isJsonPrimitive() ? value.getAsString() : value.toString();
    return text.isEmpty() ? ABSENT : text;
  }

  /** Returns a number, or 0 if the field is absent or is none. */
  static double number(JsonObject object, String name) {
    try {
      return Double.parseDouble(text(object, name));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** Formats milliseconds since the epoch as an ISO-8601 time. */
  static String time(JsonObject object, String name) {
    try {
      return Instant.ofEpochMilli(Long.parseLong(text(object, name))).toString();
    } catch (NumberFormatException e) {
      return ABSENT;
    }
  }

  /**
   * Formats an amount of resources as {@code slots/connections/cpuMillis/memoryMb/accelerators}.
   */
  static String amount(JsonObject object, String name) {
    if (!(object.get(name) instanceof JsonObject amount)) {
      return ABSENT;
    }
    return String.join(
        "/",
        text(amount, "slots"),
        text(amount, "connections"),
        text(amount, "cpuMillis"),
        text(amount, "memoryMb"),
        text(amount, "accelerators"));
  }

  /** Returns an object, or an empty one if the field is absent. */
  static JsonObject object(JsonObject object, String name) {
    return object.get(name) instanceof JsonObject value ? value : new JsonObject();
  }

  static List<JsonObject> objects(JsonObject object, String name) {
    return elements(object, name).stream()
        .filter(JsonElement::isJsonObject)
        .map(JsonElement::getAsJsonObject)
        .toList();
  }

  static List<String> texts(JsonObject object, String name) {
    return elements(object, name).stream()
        .filter(JsonElement::isJsonPrimitive)
        .map(JsonElement::getAsString)
        .toList();
  }

  private static List<JsonElement> elements(JsonObject object, String name) {
    return object.get(name) instanceof JsonArray array
        ? StreamSupport.stream(array.spliterator(), false).toList()
        : List.of();
  }
}
