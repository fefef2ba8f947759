package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;
import org.hickorymoor.standins.proxy.ProxyFaults;
import org.hickorymoor.standins.proxy.ProxyFaults.Replies;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class WorkerFaultsProcessTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Duration UNREACHABLE_TIMEOUT = Duration.ofSeconds(15);
  private static final long LEAVING_LIMIT_MS = 5_000;
  private static final long LEAVING_OBSERVATION_MS = 2_000;
  private static final long WAIT_MS = 50_000;
  private static final long BLACKHOLE_WAIT_MS = 20_000;
  private static final int WORKERS = 5;
  private static final String DOMAIN = "kano";
  private static final List<String> HOSTS = List.of("e1", "e2");

  @TempDir static Path directory;
  private static Cell cell;
  private static final Map<String, ProxiedWorker> workers = new LinkedHashMap<>();
  private static int lastWorker;

  @BeforeAll
  static void startCell() {
    cell = new Cell(directory);
    for (int i = 0; i < WORKERS; i++) {
      startWorker();
    }
    for (String hostId : HOSTS) {
      cell.startDaemon(hostId, DOMAIN, Cell.SHORT_LEASES);
    }
    cell.awaitCoordinator(HOSTS);
  }

  @AfterAll
  static void stopCell() {
    cell.close();
  }

  @AfterEach
  void clearFaults() {
    for (ProxiedWorker worker : workers.values()) {
      worker.proxy().setFaults(ProxyFaults.NONE);
      worker.process().resume();
      registerAs(worker, HostState.LIVE);
    }
    awaitLive();
  }

  private static ProxiedWorker startWorker(String... options) {
    lastWorker++;
    ProxiedWorker worker = cell.startProxiedWorker("w" + lastWorker, DOMAIN, options);
    workers.put(worker.id(), worker);
    return worker;
  }

  private static void registerAs(ProxiedWorker worker, HostState state) {
    cell.registerHost(worker.id(), HostRole.WORKER, DOMAIN, worker.proxy().address(), state);
  }

  private static void awaitLive() {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> workers.keySet().stream().allMatch(id -> stateOf(id).equals("live")));
  }

  private static String stateOf(String workerId) {
    String coordinator = cell.awaitCoordinator(HOSTS);
    return cell.get(coordinator, "/v1/workers").body().getAsJsonArray("workers").asList().stream()
        .map(worker -> worker.getAsJsonObject())
        .filter(worker -> worker.get("workerId").getAsString().equals(workerId))
        .map(worker -> worker.get("state").getAsString())
        .findFirst()
        .orElse("");
  }

  /** Deregisters a killed worker and starts a replacement. */
  private static void replace(ProxiedWorker killed) {
    cell.deregisterHost(killed.id());
    workers.remove(killed.id());
    startWorker();
  }

  @Test
  void jobsFinishWhenConnectionsToAllWorkersAreBlackholed() {
    final CompletableFuture<HttpJsonClient.Reply> running =
        cell.submitAsync(
            "e1", TestRecords.batch("s1", "normal", 6, 2_500, "whole"), BLACKHOLE_WAIT_MS);
    cell.awaitState("e1", "s1", "running");

    workers.values().forEach(worker -> worker.proxy().blackholeConnections());
    HttpJsonClient.Reply later =
        cell.submit("e2", TestRecords.batch("s2", "urgent", 1, 50, "swatch"), BLACKHOLE_WAIT_MS);

    assertThat(later.state()).isEqualTo("done");
    assertThat(later.output(0)).isEqualTo("swatch");
    assertThat(running.join().state()).isEqualTo("done");
    for (int task = 0; task < 6; task++) {
      assertThat(running.join().output(task)).isEqualTo("whole");
    }
    Invariants.check(cell);
  }

  @Test
  void nonRepeatableJobStartsOnceWhenStartReplyIsLost() {
    int before = cell.countStartedTasks();
    ProxyFaults lose = ProxyFaults.NONE.withReplies(Replies.LOSE);
    workers.values().forEach(worker -> worker.proxy().setFaults(lose));

    CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync("e1", TestRecords.atMostOnce("lost-reply", 2_000), WAIT_MS);
    Awaitility.await().atMost(TIMEOUT).until(() -> cell.countStartedTasks() > before);
    workers.values().forEach(worker -> worker.proxy().setFaults(ProxyFaults.NONE));

    HttpJsonClient.Reply reply = answer.join();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("plate");
    assertThat(cell.countTaskStarts(reply.jobId())).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void taskOfSuspendedWorkerRunsElsewhereOnlyAfterLeaseExpiry() {
    CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync("e1", TestRecords.batch("frozen", "normal", 1, 4_000, "whole"), WAIT_MS);
    ProxiedWorker suspended = workers.get(cell.awaitWorkerRunning("e1", "frozen"));

    suspended.process().suspend();

    HttpJsonClient.Reply reply = answer.join();
    suspended.process().resume();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    assertThat(reply.workerId(0)).isNotEqualTo(suspended.id());
    assertThat(cell.countTaskStarts(reply.jobId())).isEqualTo(2);
    Invariants.check(cell);
  }

  @Test
  void repeatableJobOfKilledWorkerFinishesElsewhere() {
    CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync("e1", TestRecords.batch("killed", "normal", 1, 3_000, "whole"), WAIT_MS);
    ProxiedWorker killed = workers.get(cell.awaitWorkerRunning("e1", "killed"));

    cell.killWorker(killed);

    HttpJsonClient.Reply reply = answer.join();
    replace(killed);
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    assertThat(reply.workerId(0)).isNotEqualTo(killed.id());
    Invariants.check(cell);
  }

  @Test
  void nonRepeatableJobIsInDoubtAfterWorkerDeathAndNeverRestarted() {
    CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync("e1", TestRecords.atMostOnce("killed-plate", 3_000), WAIT_MS);
    ProxiedWorker killed = workers.get(cell.awaitWorkerRunning("e1", "killed-plate"));

    cell.killWorker(killed);

    HttpJsonClient.Reply reply = answer.join();
    replace(killed);
    HttpJsonClient.Reply repeated =
        cell.submit("e2", TestRecords.atMostOnce("killed-plate", 3_000), 5_000);
    assertThat(reply.state()).isEqualTo("in-doubt");
    assertThat(reply.reason()).isEqualTo("worker-unreachable");
    assertThat(repeated.state()).isEqualTo("in-doubt");
    assertThat(cell.countTaskStarts(reply.jobId())).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void jobsFinishOnOtherWorkersWhenOneWorkerFailsEveryTask() {
    ProxiedWorker failing = workers.values().iterator().next();
    failAll(failing, true);

    CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync("e1", TestRecords.batch("many", "normal", 48, 300, "whole"), WAIT_MS);

    HttpJsonClient.Reply reply = answer.join();
    failAll(failing, false);
    assertThat(reply.state()).isEqualTo("done");
    for (int task = 0; task < 48; task++) {
      assertThat(reply.output(task)).isEqualTo("whole");
      assertThat(reply.workerId(task)).isNotEqualTo(failing.id());
    }
    Invariants.check(cell);
  }

  @Test
  void leavingWorkerFinishesItsTaskAndGetsNoNewTasksAfterLimit() {
    final CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync("e1", TestRecords.batch("stays", "normal", 1, 9_000, "whole"), WAIT_MS);
    ProxiedWorker leaving = workers.get(cell.awaitWorkerRunning("e1", "stays"));

    registerAs(leaving, HostState.LEAVING);
    final long noWorkFromHostMs = hostMs() + LEAVING_LIMIT_MS;
    int batch = 0;
    while (hostMs() < noWorkFromHostMs + LEAVING_OBSERVATION_MS) {
      batch++;
      HttpJsonClient.Reply others =
          cell.submit("e2", TestRecords.batch("more-" + batch, "normal", 30, 100, "x"), WAIT_MS);
      assertThat(others.state()).isEqualTo("done");
    }

    assertThat(cell.countStartsOnWorkerSince(leaving.id(), noWorkFromHostMs)).isEqualTo(0);
    assertThat(answer.join().state()).isEqualTo("done");
    assertThat(answer.join().workerId(0)).isEqualTo(leaving.id());
    assertThat(cell.countTaskStarts(answer.join().jobId())).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void deregisteredWorkerGetsNoNewTasksAfterLimit() {
    ProxiedWorker deregistered = workers.values().iterator().next();
    cell.deregisterHost(deregistered.id());

    final long noWorkFromHostMs = hostMs() + LEAVING_LIMIT_MS;
    int batch = 0;
    while (hostMs() < noWorkFromHostMs + LEAVING_OBSERVATION_MS) {
      batch++;
      HttpJsonClient.Reply others =
          cell.submit("e2", TestRecords.batch("rest-" + batch, "normal", 30, 100, "x"), WAIT_MS);
      assertThat(others.state()).isEqualTo("done");
    }

    assertThat(cell.countStartsOnWorkerSince(deregistered.id(), noWorkFromHostMs)).isEqualTo(0);
    Invariants.check(cell);
  }

  @Test
  void killedWorkerIsReportedUnreachable() {
    ProxiedWorker killed = workers.values().iterator().next();

    cell.killWorker(killed);

    try {
      Awaitility.await()
          .atMost(UNREACHABLE_TIMEOUT)
          .until(() -> stateOf(killed.id()).equals("unreachable"));
    } finally {
      replace(killed);
    }
  }

  private static void failAll(ProxiedWorker worker, boolean failing) {
    String faults =
        "{\"drainPercent\":100,\"cpuPercent\":100,\"memoryPercent\":100,\"failAll\":"
            + failing
            + ",\"usageMissing\":false}";
    cell.http().send("POST", "http://" + worker.address() + "/v1/noise", faults);
  }

  private static long hostMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
