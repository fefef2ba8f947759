package org.hickorymoor.standins.http;

/**
 * Body of an answer that refuses a call.
 *
 * @param error what went wrong
 */
public record ErrorReply(Detail error) {

  /**
   * What went wrong.
   *
   * @param type name of the kind of failure
   * @param message what was expected, what came and where
   */
  public record Detail(String type, String message) {}
}
