package org.hickorymoor.standins;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.protocol.platform.HostList;
import org.hickorymoor.protocol.platform.ReadReply;
import org.hickorymoor.protocol.platform.WorkerInfo;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class StandInsMainTest {

  private static final long TIMEOUT_S = 60;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_SIGTERM = 143;
  private static final String HOST =
      "{\"hostId\":\"h1\",\"role\":\"worker\",\"domain\":\"kano\",\"region\":\"north\","
          + "\"rack\":\"rack-1\",\"address\":\"127.0.0.1:1\",\"state\":\"live\"}";

  private final List<Process> processes = new ArrayList<>();

  @AfterEach
  void stop() {
    processes.forEach(Process::destroyForcibly);
  }

  @Test
  void oneProcessServesSeveralWorkersInOrder() throws Exception {
    BufferedReader output = run("worker", "--id", "w1", "--id", "w2", "--slots", "3").inputReader();

    assertThat(infoAt(readyAddress(output, "worker")).workerId()).isEqualTo("w1");
    WorkerInfo second = infoAt(readyAddress(output, "worker"));
    assertThat(second.workerId()).isEqualTo("w2");
    assertThat(second.capacity().slots()).isEqualTo(3);
  }

  @Test
  void logProcessServes() throws Exception {
    String address = readyAddress(run("log").inputReader(), "log");

    assertThat(get(address, "/v1/streams/a", ReadReply.class).endOffset()).isEqualTo(0);
  }

  @Test
  void hostsProcessListsHostsFromOptions() throws Exception {
    Process process = run("hosts", "--host", HOST, "--lag-ms", "60000");
    String address = readyAddress(process.inputReader(), "hosts");

    assertThat(get(address, "/v1/hosts", HostList.class).hosts()).hasSize(1);
  }

  @Test
  void exitsOnSigterm() throws Exception {
    Process process = run("worker", "--id", "w1");
    readyAddress(process.inputReader(), "worker");

    // Process.destroy would also close the streams, which are read below.
    process.toHandle().destroy();

    assertThat(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    assertThat(process.exitValue()).isEqualTo(EXIT_SIGTERM);
    assertThat(process.inputReader().readLine()).isNull();
  }

  @Test
  void exitsWhenStandardInputIsClosed() throws Exception {
    Process process = run("log", "--end-with-stdin");
    readyAddress(process.inputReader(), "log");

    process.getOutputStream().close();

    assertThat(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    assertThat(process.exitValue()).isEqualTo(0);
  }

  @Test
  void unknownOptionIsReported() throws Exception {
    Process process = run("worker", "--id", "w1", "--slotz", "3");

    assertThat(process.errorReader().readLine()).contains("--slotz");
    assertThat(process.waitFor()).isEqualTo(EXIT_USAGE);
  }

  private Process run(String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx32m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add(StandInsMain.class.getName());
    command.addAll(List.of(arguments));
    Process process = new ProcessBuilder(command).start();
    processes.add(process);
    return process;
  }

  private static String readyAddress(BufferedReader output, String kind) throws IOException {
    String line = output.readLine();
    assertThat(line).startsWith("READY " + kind + " 127.0.0.1:");
    return line.substring(line.lastIndexOf(' ') + 1);
  }

  private static WorkerInfo infoAt(String address) throws Exception {
    return get(address, "/v1/info", WorkerInfo.class);
  }

  private static <T> T get(String address, String path, Class<T> type) throws Exception {
    JsonHttpClient client = new JsonHttpClient(address);
    client.start();
    try {
      return client.get(path, type);
    } finally {
      client.stop();
    }
  }
}
