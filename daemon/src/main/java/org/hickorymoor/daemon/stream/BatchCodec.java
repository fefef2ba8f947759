package org.hickorymoor.daemon.stream;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Encodes and decodes batches as {@code {"b":"incarnation:sequence","e":[entry,...]}}. */
public final class BatchCodec {

  private static final String ID = "b";
  private static final String ENTRIES = "e";

  private BatchCodec() {}

  /**
   * Encodes a batch.
   *
   * @param id id of the batch
   * @param entries entries, each one JSON value
   * @return the record
   */
  public static String encode(BatchId id, List<String> entries) {
    return "{\"b\":"
        + new JsonPrimitive(id.toString())
        + ",\"e\":["
        + String.join(",", entries)
        + "]}";
  }

  /**
   * Decodes a batch.
   *
   * @param data content of a record
   * @return the batch
   * @throws MalformedBatchException if the record is not a valid batch
   */
  public static Batch decode(String data) throws MalformedBatchException {
    try {
      JsonObject object = JsonParser.parseString(data).getAsJsonObject();
      BatchId id = BatchId.parse(member(object, ID, data).getAsString());
      return new Batch(id, member(object, ENTRIES, data).getAsJsonArray().asList());
    } catch (JsonParseException | IllegalStateException | IllegalArgumentException e) {
      throw new MalformedBatchException(data, e);
    }
  }

  private static JsonElement member(JsonObject object, String name, String data)
      throws MalformedBatchException {
    @Nullable JsonElement element = object.get(name);
    if (element == null) {
      throw new MalformedBatchException(data, null);
    }
    return element;
  }
}
