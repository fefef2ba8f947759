package org.hickorymoor.protocol.json;

/** Paths of values within a record, such as {@code tasks.demand.slots} or {@code teams[2]}. */
final class Paths {

  private Paths() {}

  static String field(String parent, String name) {
    return parent.equals(Problem.ROOT_PATH) ? name : parent + "." + name;
  }

  static String item(String parent, int index) {
    return parent + "[" + index + "]";
  }
}
