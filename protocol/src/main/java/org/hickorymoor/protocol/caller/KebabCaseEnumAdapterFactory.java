package org.hickorymoor.protocol.caller;

import com.google.gson.Gson;
import com.google.gson.TypeAdapter;
import com.google.gson.TypeAdapterFactory;
import com.google.gson.reflect.TypeToken;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import org.hickorymoor.protocol.json.EnumNames;
import org.jspecify.annotations.Nullable;

/**
 * Serializes enum constants in lower-kebab-case. Deserialization is not supported, because
 * responses are parsed by {@code RecordReader}.
 */
final class KebabCaseEnumAdapterFactory implements TypeAdapterFactory {

  @Override
  public <T> @Nullable TypeAdapter<T> create(Gson gson, TypeToken<T> type) {
    return Enum.class.isAssignableFrom(type.getRawType()) ? new Adapter<>() : null;
  }

  private static final class Adapter<T> extends TypeAdapter<T> {

    @Override
    public void write(JsonWriter out, @Nullable T value) throws IOException {
      out.value(value == null ? null : EnumNames.toKebabCase((Enum<?>) value));
    }

    @Override
    public T read(JsonReader in) {
      throw new UnsupportedOperationException(
          "deserialization of enums is not supported; use RecordReader");
    }
  }
}
