package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ConfigProcessTest {

  /** The target for an accepted configuration to be in force on every host. */
  private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(20);

  private static final long DRAIN_LIMIT_MS = 5_000;
  private static final long DRAIN_WATCH_MS = 2_000;
  private static final long WAIT_MS = 50_000;
  private static final long WINDOW_MS = 3_000_000;
  private static final int ROUNDS = 5;
  private static final String DOMAIN = "kano";
  private static final List<String> HOSTS = List.of("e1", "e2", "e3");

  @TempDir Path directory;
  private Cell cell;
  private CutOffHost first;

  @BeforeEach
  void startCell() {
    cell = new Cell(directory);
    cell.startWorkers(DOMAIN, 3);
    first = new CutOffHost(cell, "e1", DOMAIN, Cell.SHORT_LEASES);
    for (String hostId : List.of("e2", "e3")) {
      cell.startDaemon(hostId, DOMAIN, Cell.SHORT_LEASES);
      first.addPeer(hostId, DOMAIN);
    }
    cell.awaitCoordinator(HOSTS);
    cell.awaitServing(HOSTS);
  }

  @AfterEach
  void stopCell() {
    cell.close();
  }

  private CompletableFuture<Http.Reply> publish(String hostId, long version, long windowMs) {
    String url = cell.url(hostId, "/v1/config?expectedVersion=" + version);
    String record = "{\"schemaVersion\":2,\"dedupeWindowMs\":" + windowMs + "}";
    return cell.http().sendAsync("POST", url, record);
  }

  private long version(String hostId) {
    return cell.get(hostId, "/v1/config").body().get("version").getAsLong();
  }

  private long windowMs(String hostId) {
    return cell.get(hostId, "/v1/config")
        .body()
        .getAsJsonObject("record")
        .get("dedupeWindowMs")
        .getAsLong();
  }

  private void awaitInForce(List<String> hostIds, long windowMs) {
    Awaitility.await()
        .atMost(IN_FORCE_LIMIT)
        .until(() -> hostIds.stream().allMatch(hostId -> windowMs(hostId) == windowMs));
  }

  @Test
  void exactlyOneOfTwoOperatorsWhoPublishOverTheSameVersionIsAccepted() {
    for (int round = 0; round < ROUNDS; round++) {
      long version = version("e2");
      CompletableFuture<Http.Reply> left = publish("e2", version, WINDOW_MS + 2 * round);
      CompletableFuture<Http.Reply> right = publish("e3", version, WINDOW_MS + 2 * round + 1);

      boolean leftWon = left.join().status() == 200;
      Http.Reply winner = leftWon ? left.join() : right.join();
      Http.Reply loser = leftWon ? right.join() : left.join();

      assertWithMessage(winner.toString()).that(winner.status()).isEqualTo(200);
      assertWithMessage(loser.toString()).that(loser.status()).isEqualTo(409);
      assertThat(loser.body().toString()).contains("version-conflict");
      awaitInForce(HOSTS, WINDOW_MS + 2 * round + (leftWon ? 0 : 1));
      assertThat(HOSTS.stream().map(this::version).distinct().toList())
          .containsExactly(winner.body().get("version").getAsLong());
    }
  }

  @Test
  void acceptedConfigurationIsInForceOnHostCutOffFromTheLogToo() {
    first.cutLog(true);

    Http.Reply accepted = publish("e2", version("e2"), WINDOW_MS).join();

    assertThat(accepted.status()).isEqualTo(200);
    awaitInForce(HOSTS, WINDOW_MS);
    assertThat(version("e1")).isEqualTo(accepted.body().get("version").getAsLong());
  }

  @Test
  void acceptedConfigurationIsNotRevertedWhenAllHostsAreReplaced() {
    Http.Reply accepted = publish("e2", version("e2"), WINDOW_MS).join();
    assertThat(accepted.status()).isEqualTo(200);

    for (String hostId : HOSTS) {
      cell.daemon(hostId).kill();
      cell.unlist(hostId);
    }
    List<String> replaced = List.of("e4", "e5");
    replaced.forEach(hostId -> cell.startDaemon(hostId, DOMAIN, Cell.SHORT_LEASES));

    awaitInForce(replaced, WINDOW_MS);
    assertThat(replaced.stream().map(this::version).distinct().toList())
        .containsExactly(accepted.body().get("version").getAsLong());
  }

  @Test
  void drainedWorkerGetsNoNewWorkAfterFewSecondsEvenFromTheNextCoordinator() {
    String drained = cell.workerIds(DOMAIN).get(0);
    Http.Reply reply =
        cell.http().send("PUT", cell.url("e2", "/v1/workers/" + drained + "/drain"), "");
    assertThat(reply.status()).isEqualTo(200);

    final long noWorkFromHostMs = hostMs() + DRAIN_LIMIT_MS;
    String coordinator = cell.awaitCoordinator(HOSTS);
    String entry = coordinator.equals("e2") ? "e3" : "e2";
    int batch = 0;
    while (hostMs() < noWorkFromHostMs + DRAIN_WATCH_MS) {
      batch++;
      Http.Reply before =
          cell.submit(entry, Records.batch("b-" + batch, "normal", 16, 100, "x"), WAIT_MS);
      assertThat(before.state()).isEqualTo("done");
    }
    cell.daemon(coordinator).kill();
    Http.Reply after = cell.submit(entry, Records.batch("b", "normal", 16, 100, "x"), WAIT_MS);

    assertThat(after.state()).isEqualTo("done");
    assertThat(cell.startsOnSince(drained, noWorkFromHostMs)).isEqualTo(0);
    Promises.check(cell);
  }

  private static long hostMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
