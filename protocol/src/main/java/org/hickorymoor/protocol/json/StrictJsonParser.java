package org.hickorymoor.protocol.json;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.math.BigDecimal;

/**
 * Parses JSON into a tree and reports duplicate keys in an object.
 *
 * <p>Gson's own parser silently keeps only one of the values of a duplicate key.
 */
final class StrictJsonParser {

  private static final int MAX_NUMBER_CHARS = 40;

  private final JsonReader reader;
  private final ProblemList problems;

  private StrictJsonParser(JsonReader reader, ProblemList problems) {
    this.reader = reader;
    this.problems = problems;
  }

  /** Parses a whole document; reports invalid JSON as a problem and returns {@link JsonNull}. */
  static JsonElement parse(String json, ProblemList problems) {
    JsonReader reader = new JsonReader(new StringReader(json));
    reader.setStrictness(Strictness.STRICT);
    try {
      JsonElement element = new StrictJsonParser(reader, problems).element(Problem.ROOT_PATH);
      if (reader.peek() != JsonToken.END_DOCUMENT) {
        problems.add(Problem.ROOT_PATH, "a single JSON object", "trailing data");
      }
      return element;
    } catch (IOException e) {
      problems.add(Problem.ROOT_PATH, "JSON", firstLine(e));
      return JsonNull.INSTANCE;
    }
  }

  private JsonElement element(String path) throws IOException {
    return switch (reader.peek()) {
      case BEGIN_OBJECT -> object(path);
      case BEGIN_ARRAY -> array(path);
      case STRING -> new JsonPrimitive(reader.nextString());
      case NUMBER -> number(path);
      case BOOLEAN -> new JsonPrimitive(reader.nextBoolean());
      default -> {
        reader.nextNull();
        yield JsonNull.INSTANCE;
      }
    };
  }

  private JsonObject object(String path) throws IOException {
    JsonObject object = new JsonObject();
    reader.beginObject();
    while (reader.hasNext()) {
      String key = reader.nextName();
      String keyPath = JsonPaths.field(path, key);
      JsonElement value = element(keyPath);
      if (object.has(key)) {
        problems.add(keyPath, "the field once", "the field twice");
      }
      object.add(key, value);
    }
    reader.endObject();
    return object;
  }

  private JsonArray array(String path) throws IOException {
    JsonArray array = new JsonArray();
    reader.beginArray();
    while (reader.hasNext()) {
      array.add(element(JsonPaths.element(path, array.size())));
    }
    reader.endArray();
    return array;
  }

  private JsonElement number(String path) throws IOException {
    String text = reader.nextString();
    try {
      if (text.length() <= MAX_NUMBER_CHARS) {
        return new JsonPrimitive(new BigDecimal(text));
      }
    } catch (NumberFormatException e) {
      // An exponent out of the range of BigDecimal is reported like a number that is too long.
    }
    problems.add(path, "a number of at most " + MAX_NUMBER_CHARS + " characters", text);
    return new JsonPrimitive(0);
  }

  private static String firstLine(IOException e) {
    String message = String.valueOf(e.getMessage());
    return message.lines().findFirst().orElse("nothing");
  }
}
