package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** The record of a case: what was sent, answered and run, and the list of all runs. Thread-safe. */
final class Record {

  /** One run of a task, as its worker saw it. */
  static final class Run {
    final String task;
    final int run;
    final String worker;
    final long startedMs;
    long endedMs = -1;
    String how = "";

    Run(String task, int run, String worker, long startedMs) {
      this.task = task;
      this.run = run;
      this.worker = worker;
      this.startedMs = startedMs;
    }

    String job() {
      return task.substring(0, task.indexOf('.'));
    }

    @Override
    public String toString() {
      return task + " run " + run + " on " + worker + " from " + startedMs + " ms to "
          + (endedMs < 0 ? "the end of the record" : endedMs + " ms, " + how);
    }
  }

  private final long startNs = System.nanoTime();
  private final PrintWriter out;
  private final List<Run> runs = new ArrayList<>();

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the milliseconds since the start of the case. */
  long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
  }

  synchronized void log(String format, Object... args) {
    out.printf(Locale.ROOT, "%9.3f ", nowMs() / 1000.0);
    out.printf(Locale.ROOT, format, args);
    out.println();
  }

  synchronized Run started(String task, int run, String worker) {
    Run started = new Run(task, run, worker, nowMs());
    runs.add(started);
    return started;
  }

  synchronized void ended(Run run, String how) {
    if (run.endedMs < 0) {
      run.endedMs = nowMs();
      run.how = how;
    }
  }

  synchronized List<Run> runs() {
    return new ArrayList<>(runs);
  }
}
