package org.hickorymoor.protocol.json;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Reads one JSON value strictly, adding validation errors to those of its {@link RecordReader}.
 *
 * <pre>{@code
 * Map<String, Integer> weights =
 *     reader.required("weights").asMap(MAX_TEAMS, value -> value.asInt(1, 100));
 * }</pre>
 *
 * <p>If the value is invalid, each method returns a placeholder that is in range. Not thread-safe.
 */
public final class ValueReader {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
  private static final String NAME_EXPECTED =
      "a name of 1 to 128 characters of A-Z a-z 0-9 . _ : -";
  private static final String NAME_PLACEHOLDER = "invalid";

  private final String path;
  private final @Nullable JsonElement element;
  private final ProblemList problems;

  /**
   * Creates a reader. If the element is null, its absence was reported already and nothing is
   * added.
   */
  ValueReader(String path, @Nullable JsonElement element, ProblemList problems) {
    this.path = path;
    this.element = element;
    this.problems = problems;
  }

  /**
   * Reads an integer.
   *
   * @param min the smallest valid value
   * @param max the largest valid value
   * @return the number
   */
  public int asInt(int min, int max) {
    return Math.toIntExact(asLong(min, max));
  }

  /**
   * Reads an integer.
   *
   * @param min the smallest valid value
   * @param max the largest valid value
   * @return the number
   */
  public long asLong(long min, long max) {
    String expected = "a whole number from " + min + " to " + max;
    if (!(element instanceof JsonPrimitive number) || !number.isNumber()) {
      return reject(expected, min);
    }
    try {
      long value = number.getAsBigDecimal().longValueExact();
      return value >= min && value <= max ? value : reject(expected, min);
    } catch (ArithmeticException e) {
      return reject(expected, min);
    }
  }

  /**
   * Reads a floating-point number.
   *
   * @param min the smallest valid value
   * @param max the largest valid value
   * @return the number
   */
  public double asDouble(double min, double max) {
    String expected = "a number from " + min + " to " + max;
    if (!(element instanceof JsonPrimitive number) || !number.isNumber()) {
      return reject(expected, min);
    }
    double value = number.getAsDouble();
    return value >= min && value <= max ? value : reject(expected, min);
  }

  /**
   * Reads a boolean.
   *
   * @return the value
   */
  public boolean asBoolean() {
    if (element instanceof JsonPrimitive value && value.isBoolean()) {
      return value.getAsBoolean();
    }
    return reject("true or false", false);
  }

  /**
   * Reads a string.
   *
   * @param maxChars maximum length in UTF-16 code units
   * @return the string
   */
  public String asString(int maxChars) {
    Optional<String> text = string().filter(value -> value.length() <= maxChars);
    return text.orElseGet(() -> reject("a string of at most " + maxChars + " characters", ""));
  }

  /**
   * Reads a name: 1 to 128 letters, digits, dots, underscores, colons or hyphens.
   *
   * @return the name
   */
  public String asName() {
    Optional<String> name = string().filter(value -> NAME.matcher(value).matches());
    return name.orElseGet(() -> reject(NAME_EXPECTED, NAME_PLACEHOLDER));
  }

  /**
   * Reads an enum constant by its name in lower-kebab-case.
   *
   * @param type the enum class
   * @param <E> the enum type
   * @return the constant
   */
  public <E extends Enum<E>> E asEnum(Class<E> type) {
    Optional<E> constant = string().flatMap(value -> EnumNames.parse(type, value));
    return constant.orElseGet(
        () -> reject("one of " + EnumNames.joinNames(type), type.getEnumConstants()[0]));
  }

  /**
   * Reads an object.
   *
   * @param read reads the fields and creates the value
   * @param <T> type of the value
   * @return the value
   */
  public <T> T asObject(Function<RecordReader, T> read) {
    if (element instanceof JsonObject object) {
      RecordReader reader = new RecordReader(path, object, problems, false);
      T value = read.apply(reader);
      reader.checkUnknownFields();
      return value;
    }
    JsonObject empty = reject("an object", new JsonObject());
    return read.apply(new RecordReader(path, empty, problems, true));
  }

  /**
   * Reads a list.
   *
   * @param maxSize maximum number of items
   * @param read reads an item
   * @param <T> type of the items
   * @return the items in document order
   */
  public <T> List<T> asList(int maxSize, Function<ValueReader, T> read) {
    if (!(element instanceof JsonArray array) || array.size() > maxSize) {
      return reject("a list of at most " + maxSize + " items", List.of());
    }
    List<T> items = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      items.add(read.apply(new ValueReader(JsonPaths.element(path, i), array.get(i), problems)));
    }
    return Collections.unmodifiableList(items);
  }

  /**
   * Reads an object as a map from names to values.
   *
   * @param maxSize maximum number of entries
   * @param read reads a value
   * @param <T> type of the values
   * @return the entries in document order
   */
  public <T> Map<String, T> asMap(int maxSize, Function<ValueReader, T> read) {
    if (!(element instanceof JsonObject object) || object.size() > maxSize) {
      return reject("an object of at most " + maxSize + " entries", Map.of());
    }
    Map<String, T> entries = new LinkedHashMap<>();
    for (Map.Entry<String, JsonElement> entry : object.entrySet()) {
      String key = entry.getKey();
      ValueReader value = new ValueReader(JsonPaths.field(path, key), entry.getValue(), problems);
      if (!NAME.matcher(key).matches()) {
        problems.add(JsonPaths.field(path, key), NAME_EXPECTED + " as key", key);
      }
      entries.put(key, read.apply(value));
    }
    return Collections.unmodifiableMap(entries);
  }

  private Optional<String> string() {
    if (element instanceof JsonPrimitive value && value.isString()) {
      return Optional.of(value.getAsString());
    }
    return Optional.empty();
  }

  private <T> T reject(String expected, T placeholder) {
    if (element != null) {
      problems.add(path, expected, element.toString());
    }
    return placeholder;
  }
}
