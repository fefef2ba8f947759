package org.hickorymoor.bench.load;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A Java program in a process of its own, which says {@code READY ...} once it serves. */
final class ChildProcess implements AutoCloseable {

  /** Options of a daemon on a small host. */
  static final List<String> SMALL_MEMORY =
      List.of(
          "-Xmx40m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:ReservedCodeCacheSize=24m");

  private static final long READY_LIMIT_SECONDS = 60;
  private static final long STOP_LIMIT_SECONDS = 10;
  private static final int ADDRESS_WORD = 2;
  private static final int PEER_ADDRESS_WORD = 4;

  private final Process process;
  private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

  private ChildProcess(Process process) {
    this.process = process;
    Thread reader = new Thread(this::read, "read-" + process.pid());
    reader.setDaemon(true);
    reader.start();
  }

  static ChildProcess start(Class<?> main, List<String> options, List<String> args, Path errorFile)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    command.addAll(args);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectError(ProcessBuilder.Redirect.appendTo(errorFile.toFile()));
    Process process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    return new ChildProcess(process);
  }

  private void read() {
    try (BufferedReader reader =
        new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        lines.add(line);
      }
    } catch (IOException e) {
      lines.add("BROKEN " + e);
    }
  }

  /** Waits for the next line {@code READY ...} and returns the address in it. */
  String awaitAddress() throws LoadException, InterruptedException {
    return awaitReady().get(ADDRESS_WORD);
  }

  /** Waits for a daemon's line {@code READY ...} and returns its HTTP and its peer address. */
  List<String> awaitDaemonAddresses() throws LoadException, InterruptedException {
    List<String> words = awaitReady();
    return List.of(words.get(ADDRESS_WORD), words.get(PEER_ADDRESS_WORD));
  }

  private List<String> awaitReady() throws LoadException, InterruptedException {
    String line = lines.poll(READY_LIMIT_SECONDS, TimeUnit.SECONDS);
    if (line == null || !line.startsWith("READY ")) {
      throw new LoadException(
          "expected a line READY of process " + pid() + ", got " + line + "; see its error file");
    }
    return List.of(line.split(" "));
  }

  long pid() {
    return process.pid();
  }

  /** Ends the process. */
  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(STOP_LIMIT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
