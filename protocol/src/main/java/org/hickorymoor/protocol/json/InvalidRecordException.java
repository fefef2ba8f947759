package org.hickorymoor.protocol.json;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a record fails validation; lists every problem that was found. */
public class InvalidRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<Problem> problems;

  /**
   * Creates an exception whose message lists the problems.
   *
   * @param problems all problems found; must not be empty
   */
  public InvalidRecordException(List<Problem> problems) {
    super(describe(problems));
    this.problems = List.copyOf(problems);
  }

  /**
   * Returns the problems in the order in which they were found.
   *
   * @return the problems, never empty
   */
  public List<Problem> problems() {
    return problems;
  }

  private static String describe(List<Problem> problems) {
    String list = problems.stream().map(Problem::toString).collect(Collectors.joining("; "));
    String count = problems.size() == 1 ? "1 problem" : problems.size() + " problems";
    return "invalid record, " + count + ": " + list + "; fix the record and submit it again";
  }
}
