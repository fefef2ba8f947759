package org.hickorymoor.protocol.json;

import java.util.ArrayList;
import java.util.List;

/** Collects the mistakes of one record, up to a limit. Not thread-safe. */
final class ProblemList {

  private static final int MAX_PROBLEMS = 50;
  private static final int MAX_PATH_CHARS = 200;
  private static final int MAX_GOT_CHARS = 100;

  private final List<Problem> problems = new ArrayList<>();
  private int dropped;

  void add(String path, String expected, String got) {
    if (problems.size() >= MAX_PROBLEMS) {
      dropped++;
      return;
    }
    problems.add(new Problem(clean(path, MAX_PATH_CHARS), expected, clean(got, MAX_GOT_CHARS)));
  }

  boolean isEmpty() {
    return problems.isEmpty();
  }

  void throwIfAny() throws InvalidRecordException {
    if (dropped > 0) {
      String expected = "at most " + MAX_PROBLEMS + " mistakes to list";
      problems.add(new Problem(Problem.ROOT_PATH, expected, dropped + " more"));
    }
    if (!problems.isEmpty()) {
      throw new InvalidRecordException(problems);
    }
  }

  /** Bounds what is echoed to the sender and keeps control characters out of logs. */
  private static String clean(String text, int maxChars) {
    String printable = text.replaceAll("\\p{Cntrl}", "?");
    return printable.length() <= maxChars ? printable : printable.substring(0, maxChars) + "...";
  }
}
