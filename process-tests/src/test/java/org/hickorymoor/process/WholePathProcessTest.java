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

  private static final Duration LIMIT = Duration.ofSeconds(30);
  private static final long WAIT_MS = 20_000;

  @TempDir Path directory;
  private Cell cell;

  @BeforeEach
  void startCell() {
    cell = new Cell(directory);
    cell.startWorkers("kano", 3);
    cell.startDaemon("e1", "kano");
    Awaitility.await().atMost(LIMIT).until(() -> cell.coordinates("e1"));
  }

  @AfterEach
  void stopCell() {
    cell.close();
  }

  @Test
  void answersPreviewWithItsWholeResult() {
    Http.Reply reply =
        cell.submit("e1", Records.batch("p1", "urgent", 1, 100, "swatch 7"), WAIT_MS);

    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("swatch 7");
  }

  @Test
  void startsAllTasksOfAnAllAtOnceJob() {
    Http.Reply reply = cell.submit("e1", Records.allAtOnce("g1", 5, 200), WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    assertThat(cell.starts(reply.body().get("jobId").getAsString())).isEqualTo(5);
  }

  @Test
  void keepsServiceRunningUntilItIsCancelled() {
    cell.submit("e1", Records.service("s1", 2), 0);
    Awaitility.await()
        .atMost(LIMIT)
        .until(() -> cell.get("e1", "/v1/jobs/team/s1").state().equals("running"));

    Http.Reply reply = cell.http().send("DELETE", cell.url("e1", "/v1/jobs/team/s1"), "");

    assertThat(reply.status()).isEqualTo(200);
    Awaitility.await()
        .atMost(LIMIT)
        .until(() -> cell.get("e1", "/v1/jobs/team/s1").state().equals("failed"));
  }

  @Test
  void refusesRecordWithUnknownFieldAndNamesIt() {
    String record = Records.batch("b1", "normal", 1, 10, "x").replace("\"key\"", "\"kye\"");

    Http.Reply reply = cell.submit("e1", record, 0);

    assertThat(reply.status()).isEqualTo(400);
    assertThat(reply.body().toString()).contains("kye");
  }

  @Test
  void endsOnSigterm() {
    int exitCode = cell.daemon("e1").stopGracefully();

    assertThat(exitCode).isEqualTo(143);
  }
}
