package org.hickorymoor.daemon.audit;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.FakeLog;
import org.hickorymoor.daemon.stream.StreamContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class AuditTrailTest {

  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);
  private final FakeLog log = new FakeLog();
  private final AuditTrail trail = newTrail("p1");

  @AfterEach
  void stop() {
    trail.stop();
    executor.shutdownNow();
  }

  @Test
  void returnsEntriesThatMatchFilter() {
    trail.start();
    AuditEntry drain = entry(1, "ada", "worker.drain", "w1");
    AuditEntry cancel = entry(2, "bob", "job.cancel", "j1");
    AuditEntry undrain = entry(3, "ada", "worker.undrain", "w1");
    for (AuditEntry entry : List.of(drain, cancel, undrain)) {
      var unused = trail.record(entry);
    }
    await().until(() -> trail.read(AuditFilter.newest(10)).size() == 3);

    assertThat(trail.read(new AuditFilter("ada", null, null, 0, 10)))
        .containsExactly(drain, undrain)
        .inOrder();
    assertThat(trail.read(new AuditFilter(null, "worker.undrain", "w1", 2, 10)))
        .containsExactly(undrain);
    assertThat(trail.read(AuditFilter.newest(2))).containsExactly(cancel, undrain).inOrder();
  }

  @Test
  void readsEntriesOfEarlierProcesses() throws Exception {
    trail.start();
    trail.record(entry(1, "ada", "a", "x")).get();
    AuditTrail later = newTrail("p2");
    later.start();

    await().until(() -> later.read(AuditFilter.newest(10)).size() == 1);
    later.stop();
  }

  @Test
  void returnsPendingEntriesDuringLogOutage() {
    log.setUnavailable(true);
    trail.start();
    var unused = trail.record(entry(1, "ada", "a", "x"));

    assertThat(trail.read(AuditFilter.newest(10))).hasSize(1);
  }

  @Test
  void keepsAtMostMaxEntries() {
    trail.start();
    for (int i = 1; i <= 9; i++) {
      var unused = trail.record(entry(i, "ada", "a", "x"));
    }

    await()
        .until(
            () -> {
              List<AuditEntry> all = trail.read(AuditFilter.newest(100));
              return all.size() == 5 && all.get(0).atMs() == 5;
            });
  }

  private AuditTrail newTrail(String incarnation) {
    StreamContext context =
        new StreamContext(log, executor, AuditTrailTest::nowMs, new MetricRegistry());
    AppendRateLimiter rateLimiter = new AppendRateLimiter(10_000, 100, AuditTrailTest::nowMs);
    return new AuditTrail(context, incarnation, rateLimiter, 5);
  }

  private static AuditEntry entry(long atMs, String who, String what, String target) {
    return new AuditEntry(atMs, who, what, target, "", "", "accepted");
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
