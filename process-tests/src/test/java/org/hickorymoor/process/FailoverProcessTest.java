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

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final long WAIT_MS = 50_000;
  private static final long SUSPENSION_MS = 4_000;

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
  void runningTaskIsAdoptedWithoutRestartAfterCoordinatorDeath() {
    String coordinator = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    String entry = others(coordinator).get(0);
    CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync(entry, TestRecords.batch("b1", "normal", 1, 6_000, "whole"), WAIT_MS);
    cell.awaitState(entry, "b1", "running");

    cell.daemon(coordinator).kill();

    HttpJsonClient.Reply reply = answer.join();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    assertThat(cell.countTaskStarts(reply.body().get("jobId").getAsString())).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void nonRepeatableJobRunsOnceAcrossCoordinatorDeath() {
    String coordinator = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    String entry = others(coordinator).get(0);
    CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync(entry, TestRecords.atMostOnce("plate-1", 5_000), WAIT_MS);
    cell.awaitState(entry, "plate-1", "running");

    cell.daemon(coordinator).kill();

    HttpJsonClient.Reply reply = answer.join();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(cell.countTaskStarts(reply.body().get("jobId").getAsString())).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void taskStartsResumeAfterCoordinatorDeath() {
    String coordinator = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    cell.daemon(coordinator).kill();

    HttpJsonClient.Reply reply =
        cell.submit(
            others(coordinator).get(0), TestRecords.batch("b2", "urgent", 1, 50, "x"), WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    Invariants.check(cell);
  }

  @Test
  void suspendedCoordinatorStartsNoTasksAfterLeaseExpiry() throws InterruptedException {
    String coordinator = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    List<String> rest = others(coordinator);
    for (int i = 0; i < 20; i++) {
      cell.submit(coordinator, TestRecords.batch("before-" + i, "normal", 4, 1_500, "x"), 0);
    }
    cell.daemon(coordinator).suspend();
    cell.awaitCoordinator(rest);
    for (int i = 0; i < 20; i++) {
      cell.submit(rest.get(0), TestRecords.batch("after-" + i, "normal", 4, 1_500, "x"), 0);
    }
    Thread.sleep(SUSPENSION_MS);
    cell.daemon(coordinator).resume();

    for (int i = 0; i < 20; i++) {
      cell.awaitState(rest.get(0), "after-" + i, "done");
    }
    Invariants.check(cell);
  }

  @Test
  void gracefulStopOfCoordinatorCompletesPendingRequests() {
    String coordinator = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync(
            coordinator, TestRecords.batch("b3", "normal", 1, 4_000, "whole"), WAIT_MS);
    cell.awaitState(others(coordinator).get(0), "b3", "running");

    cell.daemon(coordinator).requestStop();

    HttpJsonClient.Reply reply = answer.join();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    cell.daemon(coordinator).awaitExit();
    Invariants.check(cell);
  }

  @Test
  void jobFinishesAfterAllHostsAreReplacedAtOnce() {
    String coordinator = cell.awaitCoordinator(List.of("e1", "e2", "e3"));
    cell.submit(coordinator, TestRecords.atMostOnce("plate-2", 7_000), 0);
    cell.awaitState(coordinator, "plate-2", "running");

    for (String hostId : List.of("e1", "e2", "e3")) {
      cell.daemon(hostId).kill();
      cell.deregisterHost(hostId);
    }
    cell.startDaemon("e4", "kano", Cell.SHORT_LEASES);
    Awaitility.await().atMost(TIMEOUT).until(() -> cell.isCoordinator("e4"));

    cell.awaitState("e4", "plate-2", "done");
    Invariants.check(cell);
  }
}
