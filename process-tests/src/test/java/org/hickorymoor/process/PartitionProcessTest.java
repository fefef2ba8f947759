package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class PartitionProcessTest {

  private static final long WAIT_MS = 50_000;
  private static final int WORKERS = 4;
  private static final String DOMAIN = "kano";
  private static final List<String> OTHERS = List.of("e2", "e3");

  @TempDir Path directory;
  private Cell cell;
  private PartitionableHost partitionable;

  /** Starts the partitionable host alone first, so that it becomes coordinator. */
  @BeforeEach
  void startCell() {
    cell = new Cell(directory);
    cell.startWorkers(DOMAIN, WORKERS);
    partitionable = new PartitionableHost(cell, "e1", DOMAIN, Cell.SHORT_LEASES);
    cell.awaitCoordinator(List.of("e1"));
    for (String hostId : OTHERS) {
      cell.startDaemon(hostId, DOMAIN, Cell.SHORT_LEASES);
      partitionable.addPeer(hostId, DOMAIN);
    }
    cell.awaitKnownCoordinator("e1", OTHERS);
  }

  @AfterEach
  void stopCell() {
    cell.close();
  }

  @Test
  void coordinatorPartitionedFromLogRunsRepeatableJobs() {
    partitionable.setLogPartitioned(true);

    HttpJsonClient.Reply local =
        cell.submit("e1", TestRecords.batch("p1", "urgent", 1, 50, "a"), WAIT_MS);
    HttpJsonClient.Reply remote =
        cell.submit("e2", TestRecords.batch("p2", "urgent", 1, 50, "b"), WAIT_MS);

    assertThat(local.state()).isEqualTo("done");
    assertThat(local.output(0)).isEqualTo("a");
    assertThat(remote.state()).isEqualTo("done");
    assertThat(remote.output(0)).isEqualTo("b");
    Invariants.check(cell);
  }

  @Test
  void nonRepeatableJobRejectedForUnavailableLogIsNeverStarted() {
    partitionable.setLogPartitioned(true);
    cell.awaitClaimsDisabled(List.of("e1"));

    HttpJsonClient.Reply refused = cell.submit("e1", TestRecords.atMostOnce("plate", 50), WAIT_MS);
    assertThat(refused.state()).isEqualTo("not-run");
    assertThat(refused.reason()).isEqualTo("log-unavailable");
    assertThat(cell.countStartedTasks()).isEqualTo(0);

    partitionable.setLogPartitioned(false);
    HttpJsonClient.Reply done =
        cell.submitUntilAccepted("e2", TestRecords.atMostOnce("plate", 50), WAIT_MS);
    assertThat(done.state()).isEqualTo("done");
    assertThat(cell.countStartedTasks()).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void coordinatorPartitionedFromPeersRemainsOnlyTaskStarter() {
    partitionable.setPeersPartitioned(true);

    HttpJsonClient.Reply local =
        cell.submit("e1", TestRecords.batch("p1", "normal", 8, 500, "a"), WAIT_MS);
    HttpJsonClient.Reply remote = cell.submit("e2", TestRecords.atMostOnce("p2", 50), 5_000);
    assertThat(local.state()).isEqualTo("done");
    if (remote.state().equals("not-run")) {
      assertThat(cell.countStartedTasks()).isEqualTo(8);
    }

    partitionable.setPeersPartitioned(false);
    HttpJsonClient.Reply after =
        cell.submitUntilAccepted("e3", TestRecords.batch("p3", "normal", 1, 50, "c"), WAIT_MS);
    assertThat(after.state()).isEqualTo("done");
    Invariants.check(cell);
    Invariants.checkTermsDoNotInterleave(cell);
  }

  @Test
  void anotherHostTakesOverFromCoordinatorCutOffFromMostWorkers() {
    final CompletableFuture<HttpJsonClient.Reply> plate =
        cell.submitAsync("e2", TestRecords.atMostOnce("plate", 7_000), WAIT_MS);
    cell.awaitState("e2", "plate", "running");
    partitionable.setWorkersPartitioned(WORKERS - 1, true);

    cell.awaitCoordinator(OTHERS);
    HttpJsonClient.Reply after =
        cell.submit("e1", TestRecords.batch("p1", "normal", 8, 200, "a"), WAIT_MS);

    assertThat(after.state()).isEqualTo("done");
    assertThat(plate.join().state()).isEqualTo("done");
    assertThat(cell.countTaskStarts(plate.join().jobId())).isEqualTo(1);
    Invariants.check(cell);
    Invariants.checkTermsDoNotInterleave(cell);
  }

  @Test
  void domainPartitionedFromOtherDomainsAndLogRunsItsOwnRepeatableJobs() {
    cell.startWorkers("abuja", 3);
    PartitionableHost abujaHost = new PartitionableHost(cell, "a1", "abuja", Cell.SHORT_LEASES);
    for (String hostId : List.of("e2", "e3")) {
      abujaHost.addPeer(hostId, DOMAIN);
    }
    cell.awaitCoordinator(List.of("a1"));
    assertThat(cell.submitUntilAccepted("e2", jobInAbuja("before", 50), WAIT_MS).state())
        .isEqualTo("done");

    abujaHost.setLogPartitioned(true);
    abujaHost.setPeersPartitioned(true);

    HttpJsonClient.Reply abujaReply =
        cell.submit("a1", TestRecords.batch("p1", "urgent", 1, 50, "a"), WAIT_MS);
    HttpJsonClient.Reply plate = cell.submit("e2", TestRecords.atMostOnce("plate", 50), WAIT_MS);
    int before = cell.countStartedTasks();
    HttpJsonClient.Reply crossDomain = cell.submit("e2", jobInAbuja("across", 50), 5_000);
    assertThat(abujaReply.state()).isEqualTo("done");
    assertThat(plate.state()).isEqualTo("done");
    assertThat(crossDomain.state()).isAnyOf("not-run", "in-doubt");
    assertThat(cell.countStartedTasks()).isEqualTo(before);

    abujaHost.setLogPartitioned(false);
    abujaHost.setPeersPartitioned(false);
    assertThat(cell.submitUntilAccepted("e2", jobInAbuja("across", 50), WAIT_MS).state())
        .isEqualTo("done");
    Invariants.check(cell);
  }

  private static String jobInAbuja(String key, long runMs) {
    return TestRecords.inDomain("abuja", key, runMs);
  }
}
