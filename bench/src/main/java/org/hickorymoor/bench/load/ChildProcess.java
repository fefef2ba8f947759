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

/** A Java program in a child process that prints a line {@code READY ...} once it serves. */
final class ChildProcess implements AutoCloseable {

  /** JVM options of a daemon on a host with little memory. */
  static final List<String> SMALL_HEAP_OPTIONS =
      List.of(
          "-Xmx40m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:ReservedCodeCacheSize=24m");

  private static final long READY_TIMEOUT_SECONDS = 60;
  private static final long STOP_TIMEOUT_SECONDS = 10;
  private static final int ADDRESS_WORD_INDEX = 2;
  private static final int PEER_ADDRESS_WORD_INDEX = 4;

  private final Process process;
  private final BlockingQueue<String> outputLines = new LinkedBlockingQueue<>();

  private ChildProcess(Process process) {
    this.process = process;
    Thread reader = new Thread(this::readOutput, "read-" + process.pid());
    reader.setDaemon(true);
    reader.start();
  }

  static ChildProcess start(
      Class<?> mainClass, List<String> jvmOptions, List<String> args, Path stderrFile)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass.getName()));
    command.addAll(args);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectError(ProcessBuilder.Redirect.appendTo(stderrFile.toFile()));
    Process process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    return new ChildProcess(process);
  }

  private void readOutput() {
    try (BufferedReader reader =
        new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        outputLines.add(line);
      }
    } catch (IOException e) {
      outputLines.add("BROKEN " + e);
    }
  }

  /** Waits for the next {@code READY} line and returns the address in it. */
  String awaitAddress() throws LoadException, InterruptedException {
    return awaitReady().get(ADDRESS_WORD_INDEX);
  }

  /** Waits for the {@code READY} line of a daemon and returns its HTTP and peer addresses. */
  List<String> awaitDaemonAddresses() throws LoadException, InterruptedException {
    List<String> words = awaitReady();
    return List.of(words.get(ADDRESS_WORD_INDEX), words.get(PEER_ADDRESS_WORD_INDEX));
  }

  private List<String> awaitReady() throws LoadException, InterruptedException {
    String line = outputLines.poll(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (line == null || !line.startsWith("READY ")) {
      throw new LoadException(
          "expected a READY line from process "
              + pid()
              + ", got "
              + line
              + "; see its stderr file");
    }
    return List.of(line.split(" "));
  }

  long pid() {
    return process.pid();
  }

  /** Kills the process and waits a limited time for its exit. */
  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
