package org.hickorymoor.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.List;
import java.util.stream.StreamSupport;

/** Reads answers for display; what an older or newer server leaves out becomes {@code -}. */
final class Fields {

  private static final String ABSENT = "-";

  private Fields() {}

  static String text(JsonObject object, String name) {
    JsonElement value = object.get(name);
    if (value == null || value.isJsonNull()) {
      return ABSENT;
    }
    String text = value.isJsonPrimitive() ? value.getAsString() : value.toString();
    return text.isEmpty() ? ABSENT : text;
  }

  /** Reads milliseconds since 1970 as a time. */
  static String time(JsonObject object, String name) {
    try {
      return Instant.ofEpochMilli(Long.parseLong(text(object, name))).toString();
    } catch (NumberFormatException e) {
      return ABSENT;
    }
  }

  /** Reads an amount of resources as {@code slots/connections/cpuMillis/memoryMb/accelerators}. */
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

  /** Reads an object; an absent one is empty. */
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
