package org.hickorymoor.protocol.caller;

import java.util.List;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.Problem;

/**
 * Body of an error response.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {

  /**
   * Details of an error.
   *
   * @param type machine-readable type, such as {@code invalid-record}
   * @param message human-readable description: what was expected, what was received, and how to fix
   *     it
   * @param problems validation errors of a rejected record; empty for other errors
   */
  public record Detail(String type, String message, List<Problem> problems) {

    /** Copies the list. */
    public Detail {
      problems = List.copyOf(problems);
    }
  }

  /**
   * Creates an error without validation errors.
   *
   * @param type machine-readable type
   * @param message human-readable description
   * @return the body
   */
  public static ErrorBody of(String type, String message) {
    return new ErrorBody(new Detail(type, message, List.of()));
  }

  /**
   * Creates an error for a record that failed validation.
   *
   * @param type machine-readable type
   * @param exception source of the message and the problems
   * @return the body
   */
  public static ErrorBody of(String type, InvalidRecordException exception) {
    return new ErrorBody(
        new Detail(type, String.valueOf(exception.getMessage()), exception.problems()));
  }
}
