package org.hickorymoor.protocol.json;

import static java.util.stream.Collectors.joining;

import com.google.common.base.CaseFormat;
import java.util.Arrays;
import java.util.Optional;

/**
 * Names of enum constants in records: {@code ALL_AT_ONCE} is written {@code all-at-once}.
 *
 * <p>All methods are pure.
 */
public final class EnumNames {

  private EnumNames() {}

  /**
   * Returns the name of a constant as records have it.
   *
   * @param constant the constant
   * @return its name in lower-kebab-case
   */
  public static String toKebabCase(Enum<?> constant) {
    return CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_HYPHEN, constant.name());
  }

  /**
   * Finds a constant by its name in records.
   *
   * @param type the enum
   * @param text name in lower-kebab-case
   * @param <E> the enum
   * @return the constant, or empty if the enum has none of this name
   */
  public static <E extends Enum<E>> Optional<E> parse(Class<E> type, String text) {
    return Arrays.stream(type.getEnumConstants())
        .filter(c -> toKebabCase(c).equals(text))
        .findFirst();
  }

  /** Lists the names of an enum, for messages. */
  static <E extends Enum<E>> String joinNames(Class<E> type) {
    return Arrays.stream(type.getEnumConstants())
        .map(EnumNames::toKebabCase)
        .collect(joining(", "));
  }
}
