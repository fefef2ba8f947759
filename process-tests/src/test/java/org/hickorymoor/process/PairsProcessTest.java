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

/** Combinations of two simultaneous failures. */
final class PairsProcessTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final long WAIT_MS = 50_000;
  private static final int WORKERS = 4;
  private static final int JOBS = 200;
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
  void taskOfSuspendedWorkerRunsElsewhereWhenCoordinatorDies() {
    final CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync(entry, TestRecords.batch("b1", "normal", 1, 4_000, "whole"), WAIT_MS);
    ProxiedWorker suspended = workers.get(cell.awaitWorkerRunning(entry, "b1"));

    suspended.process().suspend();
    cell.daemon(coordinator).kill();

    HttpJsonClient.Reply reply = answer.join();
    suspended.process().resume();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    assertThat(reply.workerId(0)).isNotEqualTo(suspended.id());
    Invariants.check(cell);
    Invariants.checkTermsDoNotInterleave(cell);
  }

  @Test
  void nonRepeatableJobOnSuspendedWorkerRunsOnceWhenCoordinatorDies() {
    cell.submit(entry, TestRecords.atMostOnce("plate", 4_000), 0);
    ProxiedWorker suspended = workers.get(cell.awaitWorkerRunning(entry, "plate"));

    suspended.process().suspend();
    cell.daemon(coordinator).kill();
    cell.awaitCoordinator(others());
    cell.awaitState(entry, "plate", "in-doubt");
    suspended.process().resume();

    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> FINAL.contains(cell.get(entry, "/v1/jobs/team/plate").state()));
    HttpJsonClient.Reply reply = cell.get(entry, "/v1/jobs/team/plate");
    assertThat(reply.state()).isAnyOf("done", "failed");
    assertThat(cell.countTaskStarts(reply.jobId())).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void nonRepeatableJobRunsOnceWhenCoordinatorIsSuspendedAndLogLosesReplies() {
    cell.setLogFaults("{\"loseReplies\":6}");
    final CompletableFuture<HttpJsonClient.Reply> early =
        cell.submitAsync(coordinator, TestRecords.atMostOnce("plate", 500), WAIT_MS);
    cell.daemon(coordinator).suspend();
    cell.awaitCoordinator(others());
    cell.setLogFaults("{\"loseReplies\":6}");

    HttpJsonClient.Reply reply =
        cell.submitUntilAccepted(entry, TestRecords.atMostOnce("plate", 500), WAIT_MS);
    cell.daemon(coordinator).resume();

    assertThat(reply.state()).isEqualTo("done");
    assertThat(early.join().state()).isAnyOf("done", "not-run", "in-doubt");
    assertThat(cell.countStartedTasks()).isEqualTo(1);
    Invariants.check(cell);
    Invariants.checkTermsDoNotInterleave(cell);
  }

  @Test
  void jobFinishesWhenWorkerDiesDuringGracefulStopOfCoordinator() {
    final CompletableFuture<HttpJsonClient.Reply> answer =
        cell.submitAsync(entry, TestRecords.batch("b1", "normal", 1, 4_000, "whole"), WAIT_MS);
    ProxiedWorker killed = workers.get(cell.awaitWorkerRunning(entry, "b1"));

    cell.daemon(coordinator).requestStop();
    cell.killWorker(killed);

    HttpJsonClient.Reply reply = answer.join();
    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.output(0)).isEqualTo("whole");
    assertThat(reply.workerId(0)).isNotEqualTo(killed.id());
    cell.daemon(coordinator).awaitExit();
    Invariants.check(cell);
    Invariants.checkTermsDoNotInterleave(cell);
  }

  @Test
  void repeatableJobsRunWhenWorkerConnectionsAreBlackholedDuringLogOutage() {
    cell.setLogFaults("{\"outage\":\"hang\"}");
    workers.values().stream().map(ProxiedWorker::proxy).forEach(FaultProxy::blackholeConnections);

    HttpJsonClient.Reply preview =
        cell.submit(entry, TestRecords.batch("p1", "urgent", 1, 50, "swatch"), WAIT_MS);
    // A claim that is sent before the outage is known gets no answer, and leaves the job in doubt.
    cell.awaitClaimsDisabled(HOSTS);
    HttpJsonClient.Reply plate = cell.submit(entry, TestRecords.atMostOnce("plate", 50), WAIT_MS);

    assertThat(preview.state()).isEqualTo("done");
    assertThat(preview.output(0)).isEqualTo("swatch");
    assertThat(plate.state()).isEqualTo("not-run");
    assertThat(cell.countStartedTasks()).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void cancelledJobsThatWereAnsweredNotRunNeverStartThoughTheCoordinatorDies() {
    List<CompletableFuture<HttpJsonClient.Reply>> submitted = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      submitted.add(
          cell.submitAsync(entry, TestRecords.batch("job-" + i, "normal", 1, 2_500, "whole"), 0));
    }
    submitted.forEach(CompletableFuture::join);

    final Set<String> notRun = new TreeSet<>();
    for (int i = JOBS - 1; i >= 0; i--) {
      if (i == JOBS - CANCELLED_BEFORE_DEATH) {
        cell.daemon(coordinator).kill();
      }
      HttpJsonClient.Reply reply = cancelUntilAnswered("job-" + i);
      if (reply.state().equals("not-run")) {
        notRun.add(reply.jobId());
      }
    }
    for (int i = 0; i < JOBS; i++) {
      awaitFinal("job-" + i);
    }

    Set<String> startedAndNotRun = new TreeSet<>(cell.startedJobIds());
    startedAndNotRun.retainAll(notRun);
    assertThat(notRun).isNotEmpty();
    assertWithMessage("answered not-run and started").that(startedAndNotRun).isEmpty();
    Invariants.check(cell);
    Invariants.checkTermsDoNotInterleave(cell);
  }

  @Test
  void jobCancelledDuringLogOutageAndAnsweredNotRunNeverStartsWhenCoordinatorDies() {
    for (int i = 0; i < JOBS / 2; i++) {
      cell.submit(entry, TestRecords.batch("b-" + i, "normal", 1, 2_500, "whole"), 0);
    }
    String last = "b-" + (JOBS / 2 - 1);
    cell.setLogFaults("{\"outage\":\"refuse\"}");

    final HttpJsonClient.Reply cancelled = cancelUntilAnswered(last);
    cell.daemon(coordinator).kill();
    cell.setLogFaults("{\"outage\":\"none\"}");
    cell.awaitCoordinator(others());
    for (int i = 0; i < JOBS / 2 - 1; i++) {
      awaitFinal("b-" + i);
    }

    if (cancelled.state().equals("not-run")) {
      assertThat(cell.startedJobIds()).doesNotContain(cancelled.jobId());
    }
    Invariants.check(cell);
  }

  private HttpJsonClient.Reply cancelUntilAnswered(String key) {
    return Awaitility.await()
        .atMost(TIMEOUT)
        .until(
            () -> cell.http().send("DELETE", cell.url(entry, "/v1/jobs/team/" + key), ""),
            reply -> reply.status() == 200);
  }

  private void awaitFinal(String key) {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> FINAL.contains(cell.get(entry, "/v1/jobs/team/" + key).state()));
  }
}
