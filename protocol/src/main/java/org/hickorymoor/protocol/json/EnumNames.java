package org.hickorymoor.protocol.json;

import static java.util.stream.Collectors.joining;

import com.google.common.base.CaseFormat;
import java.util.Arrays;
import java.util.Optional;

/**
 * Converts enum constants to and from their JSON names: {@code ALL_AT_ONCE} is written {@code
 * all-at-once}.
 *
 * <p>All methods are stateless and thread-safe.
 */
public final class EnumNames {

  private EnumNames() {}

  /**
   * Converts the name of a constant to lower-kebab-case, as used in JSON.
   *
   * @param constant the constant
   * @return the name in lower-kebab-case
   */
  public static String toKebabCase(Enum<?> constant) {
    return CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_HYPHEN, constant.name());
  }

  /**
   * Finds the constant with the given JSON name.
   *
   * @param type the enum class
   * @param text the name in lower-kebab-case
   * @param <E> the enum type
   * @return the constant, or empty if the enum has no constant with this name
   */
  public static <E extends Enum<E>> Optional<E> parse(Class<E> type, String text) {
    return Arrays.stream(type.getEnumConstants())
        .filter(c -> toKebabCase(c).equals(text))
        .findFirst();
  }

  /** Joins all names of an enum with commas, for use in error messages. */
  static <E extends Enum<E>> String joinNames(Class<E> type) {
    return Arrays.stream(type.getEnumConstants())
        .map(EnumNames::toKebabCase)
        .collect(joining(", "));
  }
}
