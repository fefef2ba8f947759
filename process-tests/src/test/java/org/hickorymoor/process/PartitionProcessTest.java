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
  private CutOffHost first;

  /** The host that can be cut off is alone at first, and so becomes coordinator. */
  @BeforeEach
  void startCell() {
    cell = new Cell(directory);
    cell.startWorkers(DOMAIN, WORKERS);
    first = new CutOffHost(cell, "e1", DOMAIN, Cell.SHORT_LEASES);
    cell.awaitCoordinator(List.of("e1"));
    for (String hostId : OTHERS) {
      cell.startDaemon(hostId, DOMAIN, Cell.SHORT_LEASES);
      first.addPeer(hostId, DOMAIN);
    }
    cell.awaitKnownCoordinator("e1", OTHERS);
  }

  @AfterEach
  void stopCell() {
    cell.close();
  }

  @Test
  void coordinatorCutOffFromTheLogServesRepeatableJobs() {
    first.cutLog(true);

    Http.Reply here = cell.submit("e1", Records.batch("p1", "urgent", 1, 50, "a"), WAIT_MS);
    Http.Reply there = cell.submit("e2", Records.batch("p2", "urgent", 1, 50, "b"), WAIT_MS);

    assertThat(here.state()).isEqualTo("done");
    assertThat(here.output(0)).isEqualTo("a");
    assertThat(there.state()).isEqualTo("done");
    assertThat(there.output(0)).isEqualTo("b");
    Promises.check(cell);
  }

  @Test
  void jobThatMustNotBeRepeatedAndWasNotRunForWantOfTheLogHasNoStart() {
    first.cutLog(true);
    cell.awaitNoClaims(List.of("e1"));

    Http.Reply refused = cell.submit("e1", Records.once("plate", 50), WAIT_MS);
    assertThat(refused.state()).isEqualTo("not-run");
    assertThat(refused.reason()).isEqualTo("log-unavailable");
    assertThat(cell.startedTasks()).isEqualTo(0);

    first.cutLog(false);
    Http.Reply done = cell.submitUntilRun("e2", Records.once("plate", 50), WAIT_MS);
    assertThat(done.state()).isEqualTo("done");
    assertThat(cell.startedTasks()).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void coordinatorCutOffFromItsPeersStaysTheOnlyOneThatStartsTasks() {
    first.cutPeers(true);

    Http.Reply here = cell.submit("e1", Records.batch("p1", "normal", 8, 500, "a"), WAIT_MS);
    Http.Reply there = cell.submit("e2", Records.once("p2", 50), 5_000);
    assertThat(here.state()).isEqualTo("done");
    if (there.state().equals("not-run")) {
      assertThat(cell.startedTasks()).isEqualTo(8);
    }

    first.cutPeers(false);
    Http.Reply after =
        cell.submitUntilRun("e3", Records.batch("p3", "normal", 1, 50, "c"), WAIT_MS);
    assertThat(after.state()).isEqualTo("done");
    Promises.check(cell);
    Promises.checkTermsInSequence(cell);
  }

  @Test
  void anotherHostTakesOverFromCoordinatorCutOffFromMostWorkers() {
    final CompletableFuture<Http.Reply> plate =
        cell.submitAsync("e2", Records.once("plate", 7_000), WAIT_MS);
    cell.awaitState("e2", "plate", "running");
    first.cutWorkers(WORKERS - 1, true);

    cell.awaitCoordinator(OTHERS);
    Http.Reply after = cell.submit("e1", Records.batch("p1", "normal", 8, 200, "a"), WAIT_MS);

    assertThat(after.state()).isEqualTo("done");
    assertThat(plate.join().state()).isEqualTo("done");
    assertThat(cell.starts(plate.join().jobId())).isEqualTo(1);
    Promises.check(cell);
    Promises.checkTermsInSequence(cell);
  }

  @Test
  void domainCutOffFromOtherDomainsAndTheLogServesItsOwnRepeatableJobs() {
    cell.startWorkers("abuja", 3);
    CutOffHost far = new CutOffHost(cell, "a1", "abuja", Cell.SHORT_LEASES);
    for (String hostId : List.of("e2", "e3")) {
      far.addPeer(hostId, DOMAIN);
    }
    cell.awaitCoordinator(List.of("a1"));
    assertThat(cell.submitUntilRun("e2", inAbuja("before", 50), WAIT_MS).state()).isEqualTo("done");

    far.cutLog(true);
    far.cutPeers(true);

    Http.Reply own = cell.submit("a1", Records.batch("p1", "urgent", 1, 50, "a"), WAIT_MS);
    Http.Reply plate = cell.submit("e2", Records.once("plate", 50), WAIT_MS);
    int before = cell.startedTasks();
    Http.Reply across = cell.submit("e2", inAbuja("across", 50), 5_000);
    assertThat(own.state()).isEqualTo("done");
    assertThat(plate.state()).isEqualTo("done");
    assertThat(across.state()).isAnyOf("not-run", "in-doubt");
    assertThat(cell.startedTasks()).isEqualTo(before);

    far.cutLog(false);
    far.cutPeers(false);
    assertThat(cell.submitUntilRun("e2", inAbuja("across", 50), WAIT_MS).state()).isEqualTo("done");
    Promises.check(cell);
  }

  private static String inAbuja(String key, long runMs) {
    return Records.inDomain("abuja", key, runMs);
  }
}
