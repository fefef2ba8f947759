package org.hickorymoor.protocol.json;

import java.util.ArrayList;
import java.util.List;

/** Collects the validation errors of one record, up to a limit. Not thread-safe. */
final class ProblemList {

  private static final int MAX_PROBLEMS = 50;
  private static final int MAX_PATH_CHARS = 200;
  private static final int MAX_GOT_CHARS = 100;

  private final List<Problem> problems = new ArrayList<>();
  private int omitted;

  void add(String path, String expected, String got) {
    if (problems.size() >= MAX_PROBLEMS) {
      omitted++;
      return;
    }
    problems.add(
        new Problem(sanitize(path, MAX_PATH_CHARS), expected, sanitize(got, MAX_GOT_CHARS)));
  }

  boolean isEmpty() {
    return problems.isEmpty();
  }

  void throwIfAny() throws InvalidRecordException {
    if (omitted > 0) {
      String expected = "at most " + MAX_PROBLEMS + " reported problems";
      problems.add(new Problem(Problem.ROOT_PATH, expected, omitted + " more"));
    }
    if (!problems.isEmpty()) {
      throw new InvalidRecordException(problems);
    }
  }

  /** Limits how much input is echoed to the sender, and keeps control characters out of logs. */
  private static String sanitize(String text, int maxChars) {
    String printable = text.replaceAll("\\p{Cntrl}", "?");
    return printable.length() <= maxChars ? printable : printable.substring(0, maxChars) + "...";
  }
}
