package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class FailoverProcessTest {

  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final long WAIT_MS = 50_000;
  private static final long PAUSE_MS = 4_000;

  @TempDir Path directory;
  private Cell cell;

  @BeforeEach
  void startCell() {
    cell = new Cell(directory);
    cell.startWorkers("kano", 4);
    for (String hostId : List.of("e1", "e2", "e3")) {
      cell.startDaemon(hostId, "kano", Cell.SHORT_LEASES);
    }
    cell.awaitCoordinator(List.of("e1", "e2", "e3"));
  }

  @AfterEach
  void stopCell() {
    cell.close();
  }

  private List<String> others(String hostId) {
    return List.of("e1", "e2", "e3").stream().filter(other -> !other.equals(hostId)).toList();
  }

  @Test
  void runningTaskIsTakenOverWithoutRestartAfterDeathOfCoordinator() {
    String first = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    String entry = others(first).get(0);
    CompletableFuture<Http.Reply> answer =
        cell.submitAsync(entry, Records.batch("b1", "normal", 1, 6_000, "whole"), WAIT_MS);
    cell.awaitState(entry, "b1", "running");

    cell.daemon(first).kill();

    Http.Reply reply = answer.join();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    assertThat(cell.starts(reply.body().get("jobId").getAsString())).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void jobThatMustNotBeRepeatedRunsOnceAcrossDeathOfCoordinator() {
    String first = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    String entry = others(first).get(0);
    CompletableFuture<Http.Reply> answer =
        cell.submitAsync(entry, Records.once("plate-1", 5_000), WAIT_MS);
    cell.awaitState(entry, "plate-1", "running");

    cell.daemon(first).kill();

    Http.Reply reply = answer.join();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(cell.starts(reply.body().get("jobId").getAsString())).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void startsResumeAfterDeathOfCoordinator() {
    String first = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    cell.daemon(first).kill();

    Http.Reply reply =
        cell.submit(others(first).get(0), Records.batch("b2", "urgent", 1, 50, "x"), WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    Promises.check(cell);
  }

  @Test
  void pausedCoordinatorStartsNothingAfterItsAuthorityHasEnded() throws InterruptedException {
    String first = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    List<String> rest = others(first);
    for (int i = 0; i < 20; i++) {
      cell.submit(first, Records.batch("before-" + i, "normal", 4, 1_500, "x"), 0);
    }
    cell.daemon(first).freeze();
    cell.awaitCoordinator(rest);
    for (int i = 0; i < 20; i++) {
      cell.submit(rest.get(0), Records.batch("after-" + i, "normal", 4, 1_500, "x"), 0);
    }
    Thread.sleep(PAUSE_MS);
    cell.daemon(first).thaw();

    for (int i = 0; i < 20; i++) {
      cell.awaitState(rest.get(0), "after-" + i, "done");
    }
    Promises.check(cell);
  }

  @Test
  void plannedStopOfCoordinatorCutsOffNoRequest() {
    String first = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    CompletableFuture<Http.Reply> answer =
        cell.submitAsync(first, Records.batch("b3", "normal", 1, 4_000, "whole"), WAIT_MS);
    cell.awaitState(others(first).get(0), "b3", "running");

    cell.daemon(first).beginStop();

    Http.Reply reply = answer.join();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    cell.daemon(first).awaitEnd();
    Promises.check(cell);
  }

  @Test
  void allHostsReplacedAtOnceStillFinishTheJob() {
    String first = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    cell.submit(first, Records.once("plate-2", 7_000), 0);
    cell.awaitState(first, "plate-2", "running");

    for (String hostId : List.of("e1", "e2", "e3")) {
      cell.daemon(hostId).kill();
      cell.unlist(hostId);
    }
    cell.startDaemon("e4", "kano", Cell.SHORT_LEASES);
    Awaitility.await().atMost(LIMIT).until(() -> cell.coordinates("e4"));

    cell.awaitState("e4", "plate-2", "done");
    Promises.check(cell);
  }
}
