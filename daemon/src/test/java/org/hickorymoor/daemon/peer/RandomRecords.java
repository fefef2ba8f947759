package org.hickorymoor.daemon.peer;

import java.lang.reflect.AnnotatedElement;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/** Creates records of any type by reflection, with random values in every component. */
final class RandomRecords {

  private static final String[] TEXTS = {"", "a", "swatch-7", "ผ้า", "🧭"};

  private final Random random;

  RandomRecords(Random random) {
    this.random = random;
  }

  <R> R ofType(Class<R> type) throws ReflectiveOperationException {
    Class<?>[] types =
        Arrays.stream(type.getRecordComponents())
            .map(RecordComponent::getType)
            .toArray(Class<?>[]::new);
    Constructor<R> constructor = type.getDeclaredConstructor(types);
    while (true) {
      Object[] values = new Object[types.length];
      for (int i = 0; i < values.length; i++) {
        values[i] = component(type.getRecordComponents()[i]);
      }
      try {
        return constructor.newInstance(values);
      } catch (InvocationTargetException e) {
        if (!(e.getCause() instanceof IllegalArgumentException)) {
          throw e;
        }
      }
    }
  }

  private @Nullable Object component(RecordComponent component)
      throws ReflectiveOperationException {
    AnnotatedElement annotated = component.getAnnotatedType();
    if (annotated.isAnnotationPresent(Nullable.class) && random.nextBoolean()) {
      return null;
    }
    return value(component.getGenericType());
  }

  private Object value(Type type) throws ReflectiveOperationException {
    if (type == String.class) {
      return TEXTS[random.nextInt(TEXTS.length)].repeat(1 + random.nextInt(20));
    }
    if (type == int.class) {
      return random.nextInt() >> random.nextInt(32);
    }
    if (type == long.class) {
      return random.nextLong() >> random.nextInt(64);
    }
    if (type == boolean.class) {
      return random.nextBoolean();
    }
    if (type == ByteBuffer.class) {
      byte[] bytes = new byte[random.nextInt(300)];
      random.nextBytes(bytes);
      return ByteBuffer.wrap(bytes);
    }
    if (type instanceof ParameterizedType list) {
      return listOf(list.getActualTypeArguments()[0]);
    }
    Class<?> raw = (Class<?>) type;
    if (raw.isEnum()) {
      return raw.getEnumConstants()[random.nextInt(raw.getEnumConstants().length)];
    }
    return ofType(raw);
  }

  private List<Object> listOf(Type type) throws ReflectiveOperationException {
    List<Object> values = new ArrayList<>();
    int size = random.nextInt(5);
    for (int i = 0; i < size; i++) {
      values.add(value(type));
    }
    return values;
  }
}
