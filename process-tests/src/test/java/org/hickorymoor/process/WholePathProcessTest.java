package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class WholePathProcessTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long WAIT_MS = 20_000;

  @TempDir Path directory;
  private Cell cell;

  @BeforeEach
  void startCell() {
    cell = new Cell(directory);
    cell.startWorkers("kano", 3);
    cell.startDaemon("e1", "kano");
    Awaitility.await().atMost(TIMEOUT).until(() -> cell.isCoordinator("e1"));
  }

  @AfterEach
  void stopCell() {
    cell.close();
  }

  @Test
  void previewReplyContainsCompleteOutput() {
    HttpJsonClient.Reply reply =
        cell.submit("e1", TestRecords.batch("p1", "urgent", 1, 100, "swatch 7"), WAIT_MS);

    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("swatch 7");
  }

  @Test
  void allTasksOfAllAtOnceJobStart() {
    HttpJsonClient.Reply reply = cell.submit("e1", TestRecords.allAtOnce("g1", 5, 200), WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    assertThat(cell.countTaskStarts(reply.body().get("jobId").getAsString())).isEqualTo(5);
  }

  @Test
  void serviceRunsUntilCancelled() {
    cell.submit("e1", TestRecords.service("s1", 2), 0);
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> cell.get("e1", "/v1/jobs/team/s1").state().equals("running"));

    HttpJsonClient.Reply reply = cell.http().send("DELETE", cell.url("e1", "/v1/jobs/team/s1"), "");

    assertThat(reply.status()).isEqualTo(200);
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> cell.get("e1", "/v1/jobs/team/s1").state().equals("failed"));
  }

  @Test
  void recordWithUnknownFieldIsRejectedNamingTheField() {
    String record = TestRecords.batch("b1", "normal", 1, 10, "x").replace("\"key\"", "\"kye\"");

    HttpJsonClient.Reply reply = cell.submit("e1", record, 0);

    assertThat(reply.status()).isEqualTo(400);
    assertThat(reply.body().toString()).contains("kye");
  }

  @Test
  void exitsOnSigterm() {
    int exitCode = cell.daemon("e1").stopGracefully();

    assertThat(exitCode).isEqualTo(143);
  }
}
