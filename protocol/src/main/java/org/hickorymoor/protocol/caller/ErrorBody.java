package org.hickorymoor.protocol.caller;

import java.util.List;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.Problem;

/**
 * Body of every answer that reports an error.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {

  /**
   * What went wrong.
   *
   * @param type for programs, such as {@code invalid-record}
   * @param message for people: what was expected, what came, and how to mend it
   * @param problems mistakes of a refused record; empty for other errors
   */
  public record Detail(String type, String message, List<Problem> problems) {

    /** Copies the list. */
    public Detail {
      problems = List.copyOf(problems);
    }
  }

  /**
   * Reports an error without a list of mistakes.
   *
   * @param type for programs
   * @param message for people
   * @return the body
   */
  public static ErrorBody of(String type, String message) {
    return new ErrorBody(new Detail(type, message, List.of()));
  }

  /**
   * Reports that a record was refused.
   *
   * @param type for programs
   * @param exception the exception
   * @return the body
   */
  public static ErrorBody of(String type, InvalidRecordException exception) {
    return new ErrorBody(
        new Detail(type, String.valueOf(exception.getMessage()), exception.problems()));
  }
}
