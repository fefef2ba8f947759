package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.awaitility.Awaitility;
import org.hickorymoor.standins.proxy.FaultProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two failures at once. */
final class PairsProcessTest {

  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final long WAIT_MS = 50_000;
  private static final int WORKERS = 4;
  private static final int WAVE = 200;
  private static final int CANCELLED_BEFORE_DEATH = 50;
  private static final String DOMAIN = "kano";
  private static final List<String> HOSTS = List.of("e1", "e2", "e3");
  private static final Set<String> FINAL = Set.of("done", "failed", "not-run");

  @TempDir Path directory;
  private Cell cell;
  private final Map<String, ProxiedWorker> workers = new LinkedHashMap<>();
  private String coordinator;
  private String entry;

  @BeforeEach
  void startCell() {
    cell = new Cell(directory);
    for (int i = 1; i <= WORKERS; i++) {
      workers.put("w" + i, cell.startProxiedWorker("w" + i, DOMAIN));
    }
    for (String hostId : HOSTS) {
      cell.startDaemon(hostId, DOMAIN, Cell.SHORT_LEASES);
    }
    coordinator = cell.awaitCoordinator(HOSTS);
    entry = others().get(0);
    cell.awaitKnownCoordinator(coordinator, others());
  }

  @AfterEach
  void stopCell() {
    cell.close();
  }

  private List<String> others() {
    return HOSTS.stream().filter(hostId -> !hostId.equals(coordinator)).toList();
  }

  @Test
  void taskOfFrozenWorkerRunsElsewhereThoughTheCoordinatorDies() {
    final CompletableFuture<Http.Reply> answer =
        cell.submitAsync(entry, Records.batch("b1", "normal", 1, 4_000, "whole"), WAIT_MS);
    ProxiedWorker frozen = workers.get(cell.awaitWorkerOf(entry, "b1"));

    frozen.process().freeze();
    cell.daemon(coordinator).kill();

    Http.Reply reply = answer.join();
    frozen.process().thaw();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    assertThat(reply.workerId(0)).isNotEqualTo(frozen.id());
    Promises.check(cell);
    Promises.checkTermsInSequence(cell);
  }

  @Test
  void jobThatMustNotBeRepeatedRunsOnceOnFrozenWorkerThoughTheCoordinatorDies() {
    cell.submit(entry, Records.once("plate", 4_000), 0);
    ProxiedWorker frozen = workers.get(cell.awaitWorkerOf(entry, "plate"));

    frozen.process().freeze();
    cell.daemon(coordinator).kill();
    cell.awaitCoordinator(others());
    cell.awaitState(entry, "plate", "in-doubt");
    frozen.process().thaw();

    Awaitility.await()
        .atMost(LIMIT)
        .until(() -> FINAL.contains(cell.get(entry, "/v1/jobs/team/plate").state()));
    Http.Reply reply = cell.get(entry, "/v1/jobs/team/plate");
    assertThat(reply.state()).isAnyOf("done", "failed");
    assertThat(cell.starts(reply.jobId())).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void jobThatMustNotBeRepeatedRunsOnceWhenTheCoordinatorIsPausedAndTheLogLosesReplies() {
    cell.logFaults("{\"loseReplies\":6}");
    final CompletableFuture<Http.Reply> early =
        cell.submitAsync(coordinator, Records.once("plate", 500), WAIT_MS);
    cell.daemon(coordinator).freeze();
    cell.awaitCoordinator(others());
    cell.logFaults("{\"loseReplies\":6}");

    Http.Reply reply = cell.submitUntilRun(entry, Records.once("plate", 500), WAIT_MS);
    cell.daemon(coordinator).thaw();

    assertThat(reply.state()).isEqualTo("done");
    assertThat(early.join().state()).isAnyOf("done", "not-run", "in-doubt");
    assertThat(cell.startedTasks()).isEqualTo(1);
    Promises.check(cell);
    Promises.checkTermsInSequence(cell);
  }

  @Test
  void jobFinishesWhenItsWorkerDiesDuringPlannedStopOfTheCoordinator() {
    final CompletableFuture<Http.Reply> answer =
        cell.submitAsync(entry, Records.batch("b1", "normal", 1, 4_000, "whole"), WAIT_MS);
    ProxiedWorker dead = workers.get(cell.awaitWorkerOf(entry, "b1"));

    cell.daemon(coordinator).beginStop();
    cell.killWorker(dead);

    Http.Reply reply = answer.join();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    assertThat(reply.workerId(0)).isNotEqualTo(dead.id());
    cell.daemon(coordinator).awaitEnd();
    Promises.check(cell);
    Promises.checkTermsInSequence(cell);
  }

  @Test
  void repeatableJobsAreServedWhenConnectionsGoSilentInAnOutageOfTheLog() {
    cell.logFaults("{\"outage\":\"hang\"}");
    workers.values().stream().map(ProxiedWorker::proxy).forEach(FaultProxy::silenceConnections);

    Http.Reply preview =
        cell.submit(entry, Records.batch("p1", "urgent", 1, 50, "swatch"), WAIT_MS);
    Http.Reply plate = cell.submit(entry, Records.once("plate", 50), WAIT_MS);

    assertThat(preview.state()).isEqualTo("done");
    assertThat(preview.output(0)).isEqualTo("swatch");
    assertThat(plate.state()).isEqualTo("not-run");
    assertThat(cell.startedTasks()).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void cancelledJobsThatWereAnsweredNotRunNeverStartThoughTheCoordinatorDies() {
    List<CompletableFuture<Http.Reply>> submitted = new ArrayList<>();
    for (int i = 0; i < WAVE; i++) {
      submitted.add(
          cell.submitAsync(entry, Records.batch("wave-" + i, "normal", 1, 2_500, "whole"), 0));
    }
    submitted.forEach(CompletableFuture::join);

    final Set<String> notRun = new TreeSet<>();
    for (int i = WAVE - 1; i >= 0; i--) {
      if (i == WAVE - CANCELLED_BEFORE_DEATH) {
        cell.daemon(coordinator).kill();
      }
      Http.Reply reply = cancelUntilAnswered("wave-" + i);
      if (reply.state().equals("not-run")) {
        notRun.add(reply.jobId());
      }
    }
    for (int i = 0; i < WAVE; i++) {
      awaitFinal("wave-" + i);
    }

    Set<String> startedAndNotRun = new TreeSet<>(cell.startedJobs());
    startedAndNotRun.retainAll(notRun);
    assertThat(notRun).isNotEmpty();
    assertWithMessage("answered not-run and started").that(startedAndNotRun).isEmpty();
    Promises.check(cell);
    Promises.checkTermsInSequence(cell);
  }

  @Test
  void jobCancelledInAnOutageOfTheLogAndAnsweredNotRunNeverStartsThoughTheCoordinatorDies() {
    for (int i = 0; i < WAVE / 2; i++) {
      cell.submit(entry, Records.batch("b-" + i, "normal", 1, 2_500, "whole"), 0);
    }
    String last = "b-" + (WAVE / 2 - 1);
    cell.logFaults("{\"outage\":\"refuse\"}");

    final Http.Reply cancelled = cancelUntilAnswered(last);
    cell.daemon(coordinator).kill();
    cell.logFaults("{\"outage\":\"none\"}");
    cell.awaitCoordinator(others());
    for (int i = 0; i < WAVE / 2 - 1; i++) {
      awaitFinal("b-" + i);
    }

    if (cancelled.state().equals("not-run")) {
      assertThat(cell.startedJobs()).doesNotContain(cancelled.jobId());
    }
    Promises.check(cell);
  }

  private Http.Reply cancelUntilAnswered(String key) {
    return Awaitility.await()
        .atMost(LIMIT)
        .until(
            () -> cell.http().send("DELETE", cell.url(entry, "/v1/jobs/team/" + key), ""),
            reply -> reply.status() == 200);
  }

  private void awaitFinal(String key) {
    Awaitility.await()
        .atMost(LIMIT)
        .until(() -> FINAL.contains(cell.get(entry, "/v1/jobs/team/" + key).state()));
  }
}
