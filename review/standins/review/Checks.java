package review;

import java.util.ArrayList;
import java.util.List;

/** The rules that several cases check. */
final class Checks {

  private Checks() {}

  /** Returns whether two runs of one task were on workers at the same time (TWICE). */
  static boolean overlaps(Record record) {
    boolean found = false;
    List<Record.Run> runs = record.runs();
    for (Record.Run run : runs) {
      record.log("run: %s", run);
    }
    for (int i = 0; i < runs.size(); i++) {
      for (int j = i + 1; j < runs.size(); j++) {
        Record.Run first = runs.get(i);
        Record.Run second = runs.get(j);
        if (first.task.equals(second.task)
            && (first.endedMs < 0 || second.startedMs < first.endedMs)) {
          record.log("TWICE: %s runs beside %s", second, first);
          found = true;
        }
      }
    }
    return found;
  }
}
