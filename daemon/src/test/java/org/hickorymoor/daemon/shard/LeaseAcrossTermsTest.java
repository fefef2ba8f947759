package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.hickorymoor.daemon.port.KeyedStream;
import org.junit.jupiter.api.Test;

/** A worker keeps its runs for as long as a coordinator of any term may have renewed its lease. */
final class LeaseAcrossTermsTest {

  private static final long SEED = 3;
  private static final int HOSTS = 5;
  private static final int WORKERS = 6;
  private static final int TASKS = 40;
  private static final long STORE_OUTAGE_MS = 4_000;

  private SimulatedCell cell = new SimulatedCell(SEED, HOSTS, WORKERS);
  private String coordinator = "";
  private String worker = "";

  private void startEndlessTasks() {
    cell = new SimulatedCell(SEED, HOSTS, WORKERS);
    cell.workers.durations(() -> Long.MAX_VALUE);
    cell.awaitCoordinator();
    cell.submit("h0", "job", step(TASKS, List.of(), true));
    cell.time.advanceUntil(5_000, () -> cell.workers.running().size() == TASKS);
    cell.time.advance(15_000);
    coordinator = cell.awaitCoordinator();
    worker = Objects.requireNonNull(cell.workers.workerOf("job.0.0.0"));
  }

  private void blockWorkerFromHosts(Predicate<String> condition) {
    cell.hostNames().stream()
        .filter(condition)
        .forEach(host -> cell.workers.get(worker).block(host));
  }

  /** Loses the answer of a heartbeat that is stored; the store is away until it is repeated. */
  private void repeatHeartbeatAfterOutage() {
    cell.store.loseWriteAnswers(1, 0);
    cell.time.advance(450);
    cell.store.setUnresponsive(true);
    cell.store.loseWriteAnswers(0, 0);
    cell.time.advance(STORE_OUTAGE_MS);
  }

  private void verifyNothingRanTwice(String scenario) {
    assertWithMessage(scenario).that(cell.workers.violations()).isEmpty();
  }

  // Guards against second runs: a heartbeat that is confirmed when it is repeated may have been
  // stored, and observed by other hosts, at its first attempt.
  @Test
  void boundStoredAfterRepeatedHeartbeatHoldsForSuccessor() {
    int stored = 0;
    for (long cutMs = 100; cutMs <= 3_000; cutMs += 100) {
      startEndlessTasks();
      cell.time.after(cutMs, () -> cell.workers.get(worker).setDisconnected(true));
      repeatHeartbeatAfterOutage();
      cell.workers.list(worker, false);
      cell.store.setUnresponsive(false);
      boolean isStored =
          cell.time.advanceUntil(
              1_500, () -> cell.store.keys(KeyedStream.LEDGER).contains("lease:" + worker));
      stored += isStored ? 1 : 0;
      cell.time.advance(20);
      cell.kill(coordinator);
      cell.time.advance(15_000);

      verifyNothingRanTwice("cut off after " + cutMs + " ms");
    }
    assertWithMessage("bounds stored").that(stored).isGreaterThan(10);
  }

  // Guards against second runs: a coordinator may renew leases for longer if the time of its last
  // heartbeat is taken from the repeat.
  @Test
  void successorWaitsForCoordinatorWhoseLastHeartbeatWasRepeated() {
    for (long delayMs = 0; delayMs <= 1_200; delayMs += 100) {
      startEndlessTasks();
      blockWorkerFromHosts(host -> !host.equals(coordinator));
      cell.workers.all().stream()
          .filter(other -> !other.id().equals(worker))
          .forEach(other -> other.block(coordinator));
      cell.time.advance(2_000);
      repeatHeartbeatAfterOutage();
      cell.store.setUnresponsive(false);
      cell.time.advance(delayMs);
      cell.store.refuseHost(coordinator, true);
      cell.time.advance(25_000);

      verifyNothingRanTwice("cut off " + delayMs + " ms after the outage");
    }
  }

  // Guards against second runs: a worker whose bound is stored gets no lease before it is removed.
  @Test
  void leaseIsNotRenewedUntilTheRemovalOfItsBoundIsStored() {
    for (long killMs = 1_000; killMs <= 6_000; killMs += 500) {
      startEndlessTasks();
      blockWorkerFromHosts(host -> !host.equals(coordinator));
      cell.workers.get(worker).setDisconnected(true);
      cell.time.advanceUntil(
          5_000, () -> cell.store.keys(KeyedStream.LEDGER).contains("lease:" + worker));
      cell.store.setUnresponsive(true);
      cell.workers.get(worker).setDisconnected(false);
      cell.time.advance(killMs);
      cell.kill(coordinator);
      cell.store.setUnresponsive(false);
      cell.time.advance(15_000);

      verifyNothingRanTwice("killed after " + killMs + " ms");
    }
  }
}
