package org.hickorymoor.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.URLEncoder;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Builds a path with query parameters. Not thread-safe. */
final class Query {

  private final String path;
  private final List<String> parameters = new ArrayList<>();

  Query(String path) {
    this.path = path;
  }

  /** Adds a parameter, unless its value is null. */
  Query with(String name, @Nullable Object value) {
    if (value != null) {
      parameters.add(name + "=" + encode(value.toString()));
    }
    return this;
  }

  /** Percent-encodes a value for use in a query or as a path segment. */
  static String encode(String value) {
    return URLEncoder.encode(value, UTF_8).replace("+", "%20");
  }

  @Override
  public String toString() {
    return parameters.isEmpty() ? path : path + "?" + String.join("&", parameters);
  }
}
