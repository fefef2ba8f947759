package org.hickorymoor.protocol.json;

/**
 * Builds paths of values within a record, such as {@code tasks.demand.slots} or {@code teams[2]}.
 */
final class JsonPaths {

  private JsonPaths() {}

  static String field(String parent, String name) {
    return parent.equals(Problem.ROOT_PATH) ? name : parent + "." + name;
  }

  static String element(String parent, int index) {
    return parent + "[" + index + "]";
  }
}
