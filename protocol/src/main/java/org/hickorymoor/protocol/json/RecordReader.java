package org.hickorymoor.protocol.json;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.stream.Collectors.joining;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Reads one JSON object strictly, collecting all validation errors instead of stopping at the
 * first.
 *
 * <pre>{@code
 * Quota quota =
 *     RecordReader.read(
 *         json,
 *         MAX_BYTES,
 *         reader ->
 *             new Quota(
 *                 reader.required("team").asName(),
 *                 reader.optional("weight", value -> value.asInt(1, 100), 1)));
 * }</pre>
 *
 * <p>An invalid value is replaced by a placeholder that is in range, so that reading can continue;
 * {@link #read} then throws, and the placeholder is never returned to the caller. Fields that were
 * not read are reported as unknown.
 *
 * <p>Instances are not thread-safe and are valid only within the function they are passed to.
 */
public final class RecordReader {

  private static final String SCHEMA_VERSION = "schemaVersion";

  private final String path;
  private final JsonObject object;
  private final ProblemList problems;
  private final Set<String> requestedNames = new TreeSet<>();
  private boolean suppressProblems;
  private boolean ignoreUnknown;

  RecordReader(String path, JsonObject object, ProblemList problems, boolean suppressProblems) {
    this.path = path;
    this.object = object;
    this.problems = problems;
    this.suppressProblems = suppressProblems;
  }

  /**
   * Reads a whole record.
   *
   * <p>An {@link IllegalArgumentException} from a compact constructor within {@code read} is
   * reported as a problem of the whole record.
   *
   * @param json the record
   * @param limitBytes maximum size of the record in UTF-8 bytes
   * @param read reads the fields and creates the value
   * @param <T> type of the value
   * @return the value
   * @throws RecordTooLargeException if the record is larger than the limit
   * @throws InvalidRecordException if the record is invalid; lists all problems
   */
  public static <T> T read(String json, int limitBytes, Function<RecordReader, T> read)
      throws InvalidRecordException {
    int sizeBytes = json.getBytes(UTF_8).length;
    if (sizeBytes > limitBytes) {
      throw new RecordTooLargeException(limitBytes, sizeBytes);
    }
    ProblemList problems = new ProblemList();
    JsonElement root = StrictJsonParser.parse(json, problems);
    problems.throwIfAny();
    return read(root, problems, read);
  }

  private static <T> T read(JsonElement root, ProblemList problems, Function<RecordReader, T> read)
      throws InvalidRecordException {
    ValueReader value = new ValueReader(Problem.ROOT_PATH, root, problems);
    try {
      T result = value.asObject(read);
      problems.throwIfAny();
      return result;
    } catch (IllegalArgumentException e) {
      // If problems were already found, a placeholder may have caused the exception.
      if (problems.isEmpty()) {
        problems.add(Problem.ROOT_PATH, "consistent values", String.valueOf(e.getMessage()));
      }
      problems.throwIfAny();
      throw e;
    }
  }

  /**
   * Reads the schema version.
   *
   * <p>A record of an unsupported version is not validated further: the version is then the only
   * problem reported.
   *
   * @param supported the supported versions; must not be empty
   * @return one of the supported versions
   */
  public int schemaVersion(int... supported) {
    int version = required(SCHEMA_VERSION).asInt(Integer.MIN_VALUE, Integer.MAX_VALUE);
    if (Arrays.stream(supported).anyMatch(candidate -> candidate == version)) {
      return version;
    }
    String versions = Arrays.stream(supported).mapToObj(Integer::toString).collect(joining(", "));
    if (object.has(SCHEMA_VERSION)) {
      reject(SCHEMA_VERSION, "one of " + versions, Integer.toString(version));
    }
    suppressProblems = true;
    return supported[0];
  }

  /**
   * Reads a mandatory field.
   *
   * @param name name of the field
   * @return a reader of its value
   */
  public ValueReader required(String name) {
    requestedNames.add(name);
    JsonElement value = object.get(name);
    if (value == null) {
      reject(name, "a value", "no such field");
    }
    return reader(name, value);
  }

  /**
   * Reads an optional field.
   *
   * @param name name of the field
   * @param read reads its value
   * @param defaultValue value to use if the field is absent
   * @param <T> type of the value
   * @return the value
   */
  public <T> T optional(String name, Function<ValueReader, T> read, T defaultValue) {
    T value = optional(name, read);
    return value == null ? defaultValue : value;
  }

  /**
   * Reads an optional field that has no default.
   *
   * @param name name of the field
   * @param read reads its value
   * @param <T> type of the value
   * @return the value, or null if the field is absent
   */
  public <T> @Nullable T optional(String name, Function<ValueReader, T> read) {
    requestedNames.add(name);
    JsonElement value = object.get(name);
    return value == null ? null : read.apply(reader(name, value));
  }

  /**
   * Reports a problem that the reader can't detect itself, such as two conflicting fields.
   *
   * @param name the field
   * @param expected description of the valid values
   * @param got the value that was found
   */
  public void reject(String name, String expected, String got) {
    if (!suppressProblems) {
      problems.add(JsonPaths.field(path, name), expected, got);
    }
  }

  /** Accepts unknown fields, for responses of servers that may be newer than this client. */
  public void ignoreUnknownFields() {
    ignoreUnknown = true;
  }

  /** Reports all fields that were not read, unless unknown fields are ignored. */
  void checkUnknownFields() {
    if (ignoreUnknown) {
      return;
    }
    for (String name : object.keySet()) {
      if (!requestedNames.contains(name)) {
        reject(name, "one of the fields " + String.join(", ", requestedNames), "unknown field");
      }
    }
  }

  private ValueReader reader(String name, @Nullable JsonElement value) {
    return new ValueReader(JsonPaths.field(path, name), suppressProblems ? null : value, problems);
  }
}
