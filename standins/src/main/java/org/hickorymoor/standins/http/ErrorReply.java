package org.hickorymoor.standins.http;

/**
 * Body of an error reply.
 *
 * @param error details of the error
 */
public record ErrorReply(Detail error) {

  /**
   * Details of an error.
   *
   * @param type name of the error type
   * @param message what was expected, what was received and where
   */
  public record Detail(String type, String message) {}
}
