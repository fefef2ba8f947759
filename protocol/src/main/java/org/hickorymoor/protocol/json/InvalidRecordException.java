package org.hickorymoor.protocol.json;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a record is refused; it names every mistake that was found. */
public class InvalidRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<Problem> problems;

  /**
   * Refuses a record.
   *
   * @param problems every mistake, at least one
   */
  public InvalidRecordException(List<Problem> problems) {
    super(describe(problems));
    this.problems = List.copyOf(problems);
  }

  /**
   * Returns the mistakes in the order in which they were found.
   *
   * @return at least one problem
   */
  public List<Problem> problems() {
    return problems;
  }

  private static String describe(List<Problem> problems) {
    String list = problems.stream().map(Problem::toString).collect(Collectors.joining("; "));
    String count = problems.size() == 1 ? "1 mistake" : problems.size() + " mistakes";
    return "the record has " + count + ": " + list + "; correct it and send the record again";
  }
}
