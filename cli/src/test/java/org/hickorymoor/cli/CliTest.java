package org.hickorymoor.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import org.hickorymoor.cli.client.Reply;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.TaskStatus;
import org.hickorymoor.protocol.caller.CallerJson;
import org.hickorymoor.protocol.caller.ErrorBody;
import org.hickorymoor.protocol.caller.ErrorTypes;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.Problem;
import org.junit.jupiter.api.Test;

final class CliTest {

  private static final String RECORD =
      """
      {"schemaVersion":1,"team":"t","key":"k","name":"n","kind":"batch",
       "cpuMillis":1,"memoryMb":1,"repeatable":false}
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private static JobAnswer answer(JobState state) {
    return new JobAnswer(
        new RequestKey("t", "k"),
        "j1",
        state,
        Reason.NONE,
        0,
        List.of(new TaskStatus(0, state, "w1", 1, 0, "plan ready")));
  }

  private ExitCode runWithInput(FakeDaemon daemon, String input, String... arguments) {
    return run(daemon.address(), new ByteArrayInputStream(input.getBytes(UTF_8)), arguments);
  }

  private ExitCode run(FakeDaemon daemon, String... arguments) {
    return runWithInput(daemon, "", arguments);
  }

  private ExitCode run(String servers, InputStream in, String... arguments) {
    Map<String, String> environment =
        Map.of("HICKORYMOOR_SERVER", servers, "HICKORYMOOR_ACTOR", "amina");
    return new Cli(
            environment, in, new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8))
        .run(arguments);
  }

  private static FakeDaemon daemon(int status, Object body) throws Exception {
    String json = body instanceof String text ? text : CallerJson.toJson(body);
    return new FakeDaemon(call -> new Reply(status, json, 0));
  }

  @Test
  void submitSendsRecordAndPrintsTasks() throws Exception {
    try (FakeDaemon daemon = daemon(200, answer(JobState.DONE))) {
      ExitCode code = runWithInput(daemon, RECORD, "submit", "-", "--wait", "5s");

      assertThat(code).isEqualTo(ExitCode.OK);
      assertThat(daemon.received)
          .containsExactly(
              new FakeDaemon.Received("POST", "/v1/jobs?waitMs=5000", "amina", RECORD));
      assertThat(out.toString(UTF_8))
          .isEqualTo(
              """
              t/k: done (job j1)
              TASK  STATE  WORKER  ATTEMPTS  EXIT
              0     done   w1      1         0
              """);
    }
  }

  @Test
  void submitFailsOverToNextServer() throws Exception {
    try (ServerSocket socket = new ServerSocket(0);
        FakeDaemon daemon = daemon(202, answer(JobState.ACCEPTED))) {
      String closedAddress = "127.0.0.1:" + socket.getLocalPort();
      socket.close();
      InputStream in = new ByteArrayInputStream(RECORD.getBytes(UTF_8));

      assertThat(run(closedAddress + "," + daemon.address(), in, "submit", "-"))
          .isEqualTo(ExitCode.OK);
    }
  }

  @Test
  void submitRejectsInvalidRecordWithoutSendingIt() throws Exception {
    try (FakeDaemon daemon = daemon(200, answer(JobState.DONE))) {
      ExitCode code = runWithInput(daemon, "{\"schemaVersion\":1}", "submit", "-");

      assertThat(code).isEqualTo(ExitCode.USAGE);
      assertThat(err.toString(UTF_8)).contains("cpuMillis: expected a value");
      assertThat(daemon.received).isEmpty();
    }
  }

  @Test
  void resultPrintsOnlyTheOutput() throws Exception {
    try (FakeDaemon daemon = daemon(200, answer(JobState.DONE))) {
      assertThat(run(daemon, "result", "t/k")).isEqualTo(ExitCode.OK);
      assertThat(out.toString(UTF_8)).isEqualTo("plan ready\n");
    }
  }

  @Test
  void statusExitCodeDependsOnState() throws Exception {
    Map<JobState, ExitCode> codes =
        Map.of(
            JobState.RUNNING, ExitCode.OK,
            JobState.FAILED, ExitCode.JOB_FAILED,
            JobState.NOT_RUN, ExitCode.NOT_RUN,
            JobState.IN_DOUBT, ExitCode.IN_DOUBT);
    for (Map.Entry<JobState, ExitCode> entry : codes.entrySet()) {
      try (FakeDaemon daemon = daemon(200, answer(entry.getKey()))) {
        assertThat(run(daemon, "status", "t/k")).isEqualTo(entry.getValue());
      }
    }
  }

  @Test
  void statusReportsWaitTimeout() throws Exception {
    try (FakeDaemon daemon = daemon(200, answer(JobState.RUNNING))) {
      assertThat(run(daemon, "status", "t/k", "--wait", "300ms")).isEqualTo(ExitCode.NOT_FINISHED);
    }
  }

  @Test
  void rejectedSubmitPrintsReason() throws Exception {
    JobAnswer rejection =
        JobAnswer.notRun(new RequestKey("t", "k"), ReasonType.NEVER_FITS, "too large", 0);
    try (FakeDaemon daemon = daemon(503, rejection)) {
      ExitCode code = runWithInput(daemon, RECORD, "submit", "-");

      assertThat(code).isEqualTo(ExitCode.NOT_RUN);
      assertThat(out.toString(UTF_8)).contains("reason: never-fits: too large");
    }
  }

  @Test
  void unknownJobHasDistinctExitCode() throws Exception {
    try (FakeDaemon daemon = daemon(404, ErrorBody.of(ErrorTypes.UNKNOWN_JOB, "no job t/k"))) {
      assertThat(run(daemon, "cancel", "t/k")).isEqualTo(ExitCode.UNKNOWN);
      assertThat(err.toString(UTF_8)).isEqualTo("hickorymoor: unknown-job: no job t/k\n");
    }
  }

  @Test
  void workersTableIsAligned() throws Exception {
    String workers =
        """
        {"workers":[{"workerId":"w-1","rack":"r1","address":"10.0.0.9:80","state":"set-aside",
          "declared":{"slots":8,"connections":64,"cpuMillis":16000,"memoryMb":65536,
          "accelerators":0},"tasks":3}]}
        """;
    try (FakeDaemon daemon = daemon(200, workers)) {
      assertThat(run(daemon, "workers")).isEqualTo(ExitCode.OK);
      assertThat(out.toString(UTF_8))
          .endsWith(
              """
              WORKER  RACK  ADDRESS      STATE      TASKS  IN USE  LEARNED  DECLARED
              w-1     r1    10.0.0.9:80  set-aside  3      -       -        8/64/16000/65536/0
              """);
    }
  }

  @Test
  void jsonOptionPrintsResponseUnchanged() throws Exception {
    try (FakeDaemon daemon = daemon(200, "{\"hostId\":\"e1\",\"later\":[1]}")) {
      assertThat(run(daemon, "--json", "cell")).isEqualTo(ExitCode.OK);
      assertThat(out.toString(UTF_8)).isEqualTo("{\"hostId\":\"e1\",\"later\":[1]}\n");
    }
  }

  @Test
  void drainSendsPutAndUndoSendsDelete() throws Exception {
    try (FakeDaemon daemon = daemon(200, "{}")) {
      run(daemon, "drain", "w 1", "--actor", "bisi");
      run(daemon, "drain", "w-1", "--undo");

      assertThat(daemon.received)
          .containsExactly(
              new FakeDaemon.Received("PUT", "/v1/workers/w%201/drain", "bisi", ""),
              new FakeDaemon.Received("DELETE", "/v1/workers/w-1/drain", "amina", ""))
          .inOrder();
    }
  }

  @Test
  void publishSendsExpectedVersionAndReportsConflict() throws Exception {
    ErrorBody conflict =
        ErrorBody.of(
            ErrorTypes.VERSION_CONFLICT,
            new InvalidRecordException(List.of(new Problem("expectedVersion", "9", "7"))));
    try (FakeDaemon daemon = daemon(409, conflict)) {
      ExitCode code = runWithInput(daemon, "{}", "config", "publish", "-", "--expect-version", "7");

      assertThat(code).isEqualTo(ExitCode.REFUSED);
      assertThat(daemon.received.get(0).pathQuery()).isEqualTo("/v1/config?expectedVersion=7");
      assertThat(err.toString(UTF_8)).contains("expectedVersion: expected 9, got 7");
    }
  }

  @Test
  void publishIsInDoubtIfServerIsUnavailable() throws Exception {
    try (FakeDaemon daemon = daemon(503, ErrorBody.of(ErrorTypes.UNAVAILABLE, "log out"))) {
      ExitCode code = runWithInput(daemon, "{}", "config", "publish", "-", "--expect-version", "7");

      assertThat(code).isEqualTo(ExitCode.IN_DOUBT);
      assertThat(err.toString(UTF_8)).contains("status 503, log out");
      assertThat(daemon.received).hasSize(1);
    }
  }

  @Test
  void invalidCommandLineIsReported() {
    assertThat(run("127.0.0.1:1", InputStream.nullInputStream(), "status", "kaduna"))
        .isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(UTF_8)).contains("expected TEAM/KEY");
  }
}
