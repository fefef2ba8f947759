package org.hickorymoor.protocol.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.config.AcceptedPublication;
import org.hickorymoor.domain.config.ConfigBody;
import org.hickorymoor.domain.config.ConfigProblem;
import org.hickorymoor.domain.config.ConfigRecord;
import org.hickorymoor.domain.config.ConfigRecord.Malformed;
import org.hickorymoor.domain.config.ConfigRecord.Publication;
import org.hickorymoor.domain.config.ConfigRecord.Snapshot;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes the records of the configuration stream.
 *
 * <p>Decoding never fails, since all hosts must reach the same result: a record that can't be
 * decoded becomes a {@link Malformed} record, and a body of a newer schema version becomes a {@link
 * ConfigBody.Unreadable} body. All methods are stateless and thread-safe.
 */
public final class ConfigRecordCodec {

  private static final String KIND = "kind";
  private static final String PUBLICATION = "publication";
  private static final String SNAPSHOT = "snapshot";
  private static final String ID = "id";
  private static final String EXPECTED_VERSION = "expectedVersion";
  private static final String WHO = "who";
  private static final String AT_MS = "atMs";
  private static final String BODY = "body";
  private static final String PACKED_BODY = "packedBody";
  private static final String AS_OF_OFFSET = "asOfOffset";
  private static final String VERSION = "version";
  private static final String VERSION_OFFSET = "versionOffset";
  private static final String HISTORY = "history";
  private static final String OFFSET = "offset";

  /** Configurations up to this length are stored as plain JSON, longer ones compressed. */
  private static final int MAX_UNCOMPRESSED_CHARS = 4 * 1024;

  private ConfigRecordCodec() {}

  /**
   * Encodes a publication.
   *
   * @param id unique id of the publication
   * @param expectedVersion configuration version that it replaces
   * @param who operator who publishes
   * @param atMs wall-clock time of the publication
   * @param bodyJson configuration that {@link ConfigCodec#parse} accepts, of any schema version
   * @return the record
   */
  public static String encodePublication(
      String id, long expectedVersion, String who, long atMs, String bodyJson) {
    JsonObject object = new JsonObject();
    object.addProperty(KIND, PUBLICATION);
    object.addProperty(ID, id);
    object.addProperty(EXPECTED_VERSION, expectedVersion);
    object.addProperty(WHO, who);
    object.addProperty(AT_MS, atMs);
    addBody(object, bodyJson);
    return object.toString();
  }

  /**
   * Encodes a snapshot.
   *
   * @param snapshot the snapshot, whose body must be valid
   * @return the record
   */
  public static String encodeSnapshot(Snapshot snapshot) {
    if (!(snapshot.body() instanceof ConfigBody.Valid body)) {
      throw new IllegalArgumentException("expected a snapshot with a valid configuration");
    }
    JsonObject object = new JsonObject();
    object.addProperty(KIND, SNAPSHOT);
    object.addProperty(AS_OF_OFFSET, snapshot.asOfOffset());
    object.addProperty(VERSION, snapshot.version());
    object.addProperty(VERSION_OFFSET, snapshot.versionOffset());
    object.addProperty(AT_MS, snapshot.atMs());
    object.add(HISTORY, history(snapshot.history()));
    addBody(object, ConfigCodec.toJson(body.config()));
    return object.toString();
  }

  /**
   * Decodes a record.
   *
   * @param data the record
   * @return the decoded record; {@link Malformed} if it is neither a publication nor a snapshot
   */
  public static ConfigRecord decode(String data) {
    try {
      JsonObject object = JsonParser.parseString(data).getAsJsonObject();
      String kind = string(object, KIND);
      return switch (kind) {
        case PUBLICATION -> readPublication(object);
        case SNAPSHOT -> readSnapshot(object);
        default -> new Malformed("kind: expected publication or snapshot, got " + kind);
      };
    } catch (JsonParseException
        | IllegalStateException
        | IllegalArgumentException
        | ArithmeticException
        | UnsupportedOperationException e) {
      return new Malformed(String.valueOf(e.getMessage()));
    }
  }

  private static Publication readPublication(JsonObject object) {
    return new Publication(
        string(object, ID),
        integer(object, EXPECTED_VERSION),
        string(object, WHO),
        integer(object, AT_MS),
        body(object));
  }

  private static Snapshot readSnapshot(JsonObject object) {
    List<AcceptedPublication> history = new ArrayList<>();
    for (JsonElement element : member(object, HISTORY).getAsJsonArray()) {
      JsonObject entry = element.getAsJsonObject();
      history.add(
          new AcceptedPublication(
              integer(entry, VERSION),
              integer(entry, OFFSET),
              string(entry, ID),
              string(entry, WHO),
              integer(entry, AT_MS)));
    }
    return new Snapshot(
        integer(object, AS_OF_OFFSET),
        integer(object, VERSION),
        integer(object, VERSION_OFFSET),
        history,
        integer(object, AT_MS),
        body(object));
  }

  private static void addBody(JsonObject object, String bodyJson) {
    if (bodyJson.length() > MAX_UNCOMPRESSED_CHARS) {
      object.addProperty(PACKED_BODY, GzipBase64.encode(bodyJson));
    } else {
      object.add(BODY, JsonParser.parseString(bodyJson));
    }
  }

  private static ConfigBody body(JsonObject object) {
    JsonElement body =
        object.has(PACKED_BODY)
            ? JsonParser.parseString(
                GzipBase64.decode(string(object, PACKED_BODY), ConfigCodec.MAX_BYTES))
            : member(object, BODY);
    String newer = newerSchemaVersion(body);
    if (newer != null) {
      return new ConfigBody.Unreadable(newer);
    }
    try {
      return new ConfigBody.Valid(ConfigCodec.parse(body.toString()));
    } catch (InvalidRecordException e) {
      List<ConfigProblem> problems =
          e.problems().stream()
              .map(problem -> new ConfigProblem(problem.path(), problem.expected(), problem.got()))
              .toList();
      return new ConfigBody.Invalid(problems);
    }
  }

  /** Returns the schema version if it is an integer above those that this release supports. */
  private static @Nullable String newerSchemaVersion(JsonElement body) {
    if (body instanceof JsonObject object
        && object.get(ConfigFields.SCHEMA_VERSION) instanceof JsonPrimitive version
        && version.isNumber()) {
      BigDecimal number = version.getAsBigDecimal();
      boolean isInteger = number.stripTrailingZeros().scale() <= 0;
      boolean newer = number.compareTo(BigDecimal.valueOf(ConfigCodec.NESTED_VERSION)) > 0;
      return isInteger && newer ? version.getAsString() : null;
    }
    return null;
  }

  private static JsonArray history(List<AcceptedPublication> history) {
    JsonArray array = new JsonArray();
    for (AcceptedPublication accepted : history) {
      JsonObject object = new JsonObject();
      object.addProperty(VERSION, accepted.version());
      object.addProperty(OFFSET, accepted.offset());
      object.addProperty(ID, accepted.id());
      object.addProperty(WHO, accepted.who());
      object.addProperty(AT_MS, accepted.atMs());
      array.add(object);
    }
    return array;
  }

  private static String string(JsonObject object, String name) {
    JsonElement element = member(object, name);
    if (element instanceof JsonPrimitive text && text.isString()) {
      return text.getAsString();
    }
    throw new IllegalArgumentException(name + ": expected a string, got " + element);
  }

  private static long integer(JsonObject object, String name) {
    JsonElement element = member(object, name);
    if (element instanceof JsonPrimitive number && number.isNumber()) {
      return number.getAsBigDecimal().longValueExact();
    }
    throw new IllegalArgumentException(name + ": expected a whole number, got " + element);
  }

  private static JsonElement member(JsonObject object, String name) {
    JsonElement element = object.get(name);
    if (element == null) {
      throw new IllegalArgumentException(name + ": expected a value, got no such field");
    }
    return element;
  }
}
