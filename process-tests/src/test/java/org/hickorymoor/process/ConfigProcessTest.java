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

  /** Time within which an accepted configuration must be in force on every host. */
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(20);

  private static final long DRAIN_LIMIT_MS = 5_000;
  private static final long DRAIN_OBSERVATION_MS = 2_000;
  private static final long WAIT_MS = 50_000;
  private static final long WINDOW_MS = 3_000_000;
  private static final int ROUNDS = 5;
  private static final String DOMAIN = "kano";
  private static final List<String> HOSTS = List.of("e1", "e2", "e3");

  @TempDir Path directory;
  private Cell cell;
  private PartitionableHost partitionable;

  @BeforeEach
  void startCell() {
    cell = new Cell(directory);
    cell.startWorkers(DOMAIN, 3);
    partitionable = new PartitionableHost(cell, "e1", DOMAIN, Cell.SHORT_LEASES);
    for (String hostId : List.of("e2", "e3")) {
      cell.startDaemon(hostId, DOMAIN, Cell.SHORT_LEASES);
      partitionable.addPeer(hostId, DOMAIN);
    }
    cell.awaitCoordinator(HOSTS);
    cell.awaitServing(HOSTS);
  }

  @AfterEach
  void stopCell() {
    cell.close();
  }

  private CompletableFuture<HttpJsonClient.Reply> publish(
      String hostId, long version, long windowMs) {
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
        .atMost(IN_FORCE_TIMEOUT)
        .until(() -> hostIds.stream().allMatch(hostId -> windowMs(hostId) == windowMs));
  }

  @Test
  void exactlyOneOfTwoConcurrentPublicationsOverSameVersionIsAccepted() {
    for (int round = 0; round < ROUNDS; round++) {
      long version = version("e2");
      CompletableFuture<HttpJsonClient.Reply> fromE2 =
          publish("e2", version, WINDOW_MS + 2 * round);
      CompletableFuture<HttpJsonClient.Reply> fromE3 =
          publish("e3", version, WINDOW_MS + 2 * round + 1);

      boolean e2Accepted = fromE2.join().status() == 200;
      HttpJsonClient.Reply accepted = e2Accepted ? fromE2.join() : fromE3.join();
      HttpJsonClient.Reply rejected = e2Accepted ? fromE3.join() : fromE2.join();

      assertWithMessage(accepted.toString()).that(accepted.status()).isEqualTo(200);
      assertWithMessage(rejected.toString()).that(rejected.status()).isEqualTo(409);
      assertThat(rejected.body().toString()).contains("version-conflict");
      awaitInForce(HOSTS, WINDOW_MS + 2 * round + (e2Accepted ? 0 : 1));
      assertThat(HOSTS.stream().map(this::version).distinct().toList())
          .containsExactly(accepted.body().get("version").getAsLong());
    }
  }

  @Test
  void acceptedConfigurationTakesEffectOnHostPartitionedFromLog() {
    partitionable.setLogPartitioned(true);

    HttpJsonClient.Reply accepted = publish("e2", version("e2"), WINDOW_MS).join();

    assertThat(accepted.status()).isEqualTo(200);
    awaitInForce(HOSTS, WINDOW_MS);
    assertThat(version("e1")).isEqualTo(accepted.body().get("version").getAsLong());
  }

  @Test
  void acceptedConfigurationSurvivesReplacementOfAllHosts() {
    HttpJsonClient.Reply accepted = publish("e2", version("e2"), WINDOW_MS).join();
    assertThat(accepted.status()).isEqualTo(200);

    for (String hostId : HOSTS) {
      cell.daemon(hostId).kill();
      cell.deregisterHost(hostId);
    }
    List<String> replaced = List.of("e4", "e5");
    replaced.forEach(hostId -> cell.startDaemon(hostId, DOMAIN, Cell.SHORT_LEASES));

    awaitInForce(replaced, WINDOW_MS);
    assertThat(replaced.stream().map(this::version).distinct().toList())
        .containsExactly(accepted.body().get("version").getAsLong());
  }

  @Test
  void drainedWorkerGetsNoNewTasksAfterDrainLimitEvenFromNextCoordinator() {
    String drained = cell.workerIds(DOMAIN).get(0);
    HttpJsonClient.Reply reply =
        cell.http().send("PUT", cell.url("e2", "/v1/workers/" + drained + "/drain"), "");
    assertThat(reply.status()).isEqualTo(200);

    final long noWorkFromHostMs = hostMs() + DRAIN_LIMIT_MS;
    String coordinator = cell.awaitCoordinator(HOSTS);
    String entry = coordinator.equals("e2") ? "e3" : "e2";
    int batch = 0;
    while (hostMs() < noWorkFromHostMs + DRAIN_OBSERVATION_MS) {
      batch++;
      HttpJsonClient.Reply before =
          cell.submit(entry, TestRecords.batch("b-" + batch, "normal", 16, 100, "x"), WAIT_MS);
      assertThat(before.state()).isEqualTo("done");
    }
    cell.daemon(coordinator).kill();
    HttpJsonClient.Reply after =
        cell.submit(entry, TestRecords.batch("b", "normal", 16, 100, "x"), WAIT_MS);

    assertThat(after.state()).isEqualTo("done");
    assertThat(cell.countStartsOnWorkerSince(drained, noWorkFromHostMs)).isEqualTo(0);
    Invariants.check(cell);
  }

  private static long hostMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
