import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Writes what was sent, answered and run into record.txt, with the time since the start. */
final class Recorder implements AutoCloseable {
  private final long startNs = System.nanoTime();
  private final PrintWriter out;
  private final Map<String, Integer> counts = new HashMap<>();

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void note(String line) {
    out.printf("%9.3f s  %s%n", (System.nanoTime() - startNs) / 1e9, line);
    out.flush();
  }

  /** Notes a line that may come often: the first time, and each time its count doubles. */
  synchronized void count(String line) {
    int times = counts.merge(line, 1, Integer::sum);
    if (Integer.bitCount(times) == 1) {
      note(line + " (" + times + ")");
    }
  }

  @Override
  public void close() {
    out.close();
  }
}
