package org.hickorymoor.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A Java program in a child process that prints {@code READY ...} once it serves. */
final class JavaProcess {

  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(90);
  private static final List<String> JVM_OPTIONS =
      List.of(
          "-Xmx40m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:ReservedCodeCacheSize=24m");

  private final Process process;
  private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

  private JavaProcess(Process process) {
    this.process = process;
    Thread reader = new Thread(this::read, "read-" + process.pid());
    reader.setDaemon(true);
    reader.start();
  }

  static JavaProcess start(Class<?> main, Path errorFile, List<String> args) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_OPTIONS);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    command.addAll(args);
    try {
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.redirectError(ProcessBuilder.Redirect.appendTo(errorFile.toFile()));
      return new JavaProcess(builder.start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void read() {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        lines.add(line);
      }
    } catch (IOException e) {
      lines.add("BROKEN " + e);
    }
  }

  /** Waits for the next line {@code READY ...} and returns its words. */
  List<String> awaitReady() {
    try {
      String line = lines.poll(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
      if (line == null || !line.startsWith("READY ")) {
        throw new IllegalStateException("expected READY of process " + pid() + ", got " + line);
      }
      return List.of(line.split(" "));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process with SIGKILL, which simulates a host crash. */
  void kill() {
    signal("CONT");
    process.destroyForcibly();
    awaitExit();
  }

  /** Sends SIGTERM, waits for the process to exit and returns its exit code. */
  int stopGracefully() {
    process.destroy();
    awaitExit();
    return process.exitValue();
  }

  /** Sends SIGTERM without waiting for the process to exit. */
  void requestStop() {
    process.destroy();
  }

  void awaitExit() {
    try {
      if (!process.waitFor(STOP_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
        throw new IllegalStateException("process " + pid() + " did not exit in time");
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Suspends the process with SIGSTOP, which simulates a long pause. */
  void suspend() {
    signal("STOP");
  }

  /** Resumes a suspended process with SIGCONT. */
  void resume() {
    signal("CONT");
  }

  private void signal(String name) {
    if (!process.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", "-" + name, String.valueOf(pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
