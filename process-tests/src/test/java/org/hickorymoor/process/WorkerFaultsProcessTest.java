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

  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final Duration LAPSE_LIMIT = Duration.ofSeconds(15);
  private static final long LEAVING_LIMIT_MS = 5_000;
  private static final long LEAVING_WATCH_MS = 2_000;
  private static final long WAIT_MS = 50_000;
  private static final long SILENCE_LIMIT_MS = 20_000;
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
  void heal() {
    for (ProxiedWorker worker : workers.values()) {
      worker.proxy().setFaults(ProxyFaults.NONE);
      worker.process().thaw();
      listAs(worker, HostState.LIVE);
    }
    awaitLive();
  }

  private static ProxiedWorker startWorker(String... options) {
    lastWorker++;
    ProxiedWorker worker = cell.startProxiedWorker("w" + lastWorker, DOMAIN, options);
    workers.put(worker.id(), worker);
    return worker;
  }

  private static void listAs(ProxiedWorker worker, HostState state) {
    cell.list(worker.id(), HostRole.WORKER, DOMAIN, worker.proxy().address(), state);
  }

  private static void awaitLive() {
    Awaitility.await()
        .atMost(LIMIT)
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

  /** Takes a dead worker from the list and puts another in its place. */
  private static void replace(ProxiedWorker dead) {
    cell.unlist(dead.id());
    workers.remove(dead.id());
    startWorker();
  }

  @Test
  void jobsFinishWhenConnectionsToAllWorkersGoSilentForGood() {
    final CompletableFuture<Http.Reply> running =
        cell.submitAsync("e1", Records.batch("s1", "normal", 6, 2_500, "whole"), SILENCE_LIMIT_MS);
    cell.awaitState("e1", "s1", "running");

    workers.values().forEach(worker -> worker.proxy().silenceConnections());
    Http.Reply later =
        cell.submit("e2", Records.batch("s2", "urgent", 1, 50, "swatch"), SILENCE_LIMIT_MS);

    assertThat(later.state()).isEqualTo("done");
    assertThat(later.output(0)).isEqualTo("swatch");
    assertThat(running.join().state()).isEqualTo("done");
    for (int task = 0; task < 6; task++) {
      assertThat(running.join().output(task)).isEqualTo("whole");
    }
    Promises.check(cell);
  }

  @Test
  void jobThatMustNotBeRepeatedStartsOnceWhenTheReplyToItsStartIsLost() {
    int before = cell.startedTasks();
    ProxyFaults lose = ProxyFaults.NONE.withReplies(Replies.LOSE);
    workers.values().forEach(worker -> worker.proxy().setFaults(lose));

    CompletableFuture<Http.Reply> answer =
        cell.submitAsync("e1", Records.once("lost-reply", 2_000), WAIT_MS);
    Awaitility.await().atMost(LIMIT).until(() -> cell.startedTasks() > before);
    workers.values().forEach(worker -> worker.proxy().setFaults(ProxyFaults.NONE));

    Http.Reply reply = answer.join();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("plate");
    assertThat(cell.starts(reply.jobId())).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void taskOfFrozenWorkerRunsElsewhereOnlyAfterItsLease() {
    CompletableFuture<Http.Reply> answer =
        cell.submitAsync("e1", Records.batch("frozen", "normal", 1, 4_000, "whole"), WAIT_MS);
    ProxiedWorker frozen = workers.get(cell.awaitWorkerOf("e1", "frozen"));

    frozen.process().freeze();

    Http.Reply reply = answer.join();
    frozen.process().thaw();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    assertThat(reply.workerId(0)).isNotEqualTo(frozen.id());
    assertThat(cell.starts(reply.jobId())).isEqualTo(2);
    Promises.check(cell);
  }

  @Test
  void repeatableJobOfKilledWorkerFinishesElsewhere() {
    CompletableFuture<Http.Reply> answer =
        cell.submitAsync("e1", Records.batch("killed", "normal", 1, 3_000, "whole"), WAIT_MS);
    ProxiedWorker dead = workers.get(cell.awaitWorkerOf("e1", "killed"));

    cell.killWorker(dead);

    Http.Reply reply = answer.join();
    replace(dead);
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    assertThat(reply.workerId(0)).isNotEqualTo(dead.id());
    Promises.check(cell);
  }

  @Test
  void jobThatMustNotBeRepeatedIsInDoubtAfterDeathOfItsWorkerAndNeverStartsAgain() {
    CompletableFuture<Http.Reply> answer =
        cell.submitAsync("e1", Records.once("killed-plate", 3_000), WAIT_MS);
    ProxiedWorker dead = workers.get(cell.awaitWorkerOf("e1", "killed-plate"));

    cell.killWorker(dead);

    Http.Reply reply = answer.join();
    replace(dead);
    Http.Reply repeated = cell.submit("e2", Records.once("killed-plate", 3_000), 5_000);
    assertThat(reply.state()).isEqualTo("in-doubt");
    assertThat(reply.reason()).isEqualTo("worker-unreachable");
    assertThat(repeated.state()).isEqualTo("in-doubt");
    assertThat(cell.starts(reply.jobId())).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void jobsFinishOnTheOthersWhenOneWorkerFailsAllThatItStarts() {
    ProxiedWorker failing = workers.values().iterator().next();
    failAll(failing, true);

    CompletableFuture<Http.Reply> answer =
        cell.submitAsync("e1", Records.batch("many", "normal", 48, 300, "whole"), WAIT_MS);

    Http.Reply reply = answer.join();
    failAll(failing, false);
    assertThat(reply.state()).isEqualTo("done");
    for (int task = 0; task < 48; task++) {
      assertThat(reply.output(task)).isEqualTo("whole");
      assertThat(reply.workerId(task)).isNotEqualTo(failing.id());
    }
    Promises.check(cell);
  }

  @Test
  void leavingWorkerEndsItsTaskAndGetsNoNewWorkAfterFewSeconds() {
    final CompletableFuture<Http.Reply> answer =
        cell.submitAsync("e1", Records.batch("stays", "normal", 1, 9_000, "whole"), WAIT_MS);
    ProxiedWorker leaving = workers.get(cell.awaitWorkerOf("e1", "stays"));

    listAs(leaving, HostState.LEAVING);
    final long noWorkFromHostMs = hostMs() + LEAVING_LIMIT_MS;
    int batch = 0;
    while (hostMs() < noWorkFromHostMs + LEAVING_WATCH_MS) {
      batch++;
      Http.Reply others =
          cell.submit("e2", Records.batch("more-" + batch, "normal", 30, 100, "x"), WAIT_MS);
      assertThat(others.state()).isEqualTo("done");
    }

    assertThat(cell.startsOnSince(leaving.id(), noWorkFromHostMs)).isEqualTo(0);
    assertThat(answer.join().state()).isEqualTo("done");
    assertThat(answer.join().workerId(0)).isEqualTo(leaving.id());
    assertThat(cell.starts(answer.join().jobId())).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void workerTakenFromTheListGetsNoNewWorkAfterFewSeconds() {
    ProxiedWorker gone = workers.values().iterator().next();
    cell.unlist(gone.id());

    final long noWorkFromHostMs = hostMs() + LEAVING_LIMIT_MS;
    int batch = 0;
    while (hostMs() < noWorkFromHostMs + LEAVING_WATCH_MS) {
      batch++;
      Http.Reply others =
          cell.submit("e2", Records.batch("rest-" + batch, "normal", 30, 100, "x"), WAIT_MS);
      assertThat(others.state()).isEqualTo("done");
    }

    assertThat(cell.startsOnSince(gone.id(), noWorkFromHostMs)).isEqualTo(0);
    Promises.check(cell);
  }

  @Test
  void killedWorkerIsShownAsUnreachable() {
    ProxiedWorker dead = workers.values().iterator().next();

    cell.killWorker(dead);

    try {
      Awaitility.await().atMost(LAPSE_LIMIT).until(() -> stateOf(dead.id()).equals("unreachable"));
    } finally {
      replace(dead);
    }
  }

  private static void failAll(ProxiedWorker worker, boolean failing) {
    String noise =
        "{\"drainPercent\":100,\"cpuPercent\":100,\"memoryPercent\":100,\"failAll\":"
            + failing
            + ",\"usageMissing\":false}";
    cell.http().send("POST", "http://" + worker.address() + "/v1/noise", noise);
  }

  private static long hostMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
