package org.hickorymoor.bench.load;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the heap in use by a Java process after a full garbage collection, with jcmd. */
final class HeapReader {

  private static final Pattern GENERATION_USAGE =
      Pattern.compile("(?:def new|tenured) generation\\s+total \\d+K, used (\\d+)K");

  private HeapReader() {}

  static long usedAfterGcKb(long pid) throws IOException {
    jcmd(pid, "GC.run");
    return usedKb(jcmd(pid, "GC.heap_info"));
  }

  /** Sums the used size of both generations in the heap info of the serial collector. */
  static long usedKb(String heapInfo) {
    Matcher matcher = GENERATION_USAGE.matcher(heapInfo);
    long usedKb = 0;
    while (matcher.find()) {
      usedKb += Long.parseLong(matcher.group(1));
    }
    return usedKb;
  }

  private static String jcmd(long pid, String command) throws IOException {
    String jcmdPath = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
    Process process = new ProcessBuilder(jcmdPath, Long.toString(pid), command).start();
    return new String(process.getInputStream().readAllBytes(), UTF_8);
  }
}
