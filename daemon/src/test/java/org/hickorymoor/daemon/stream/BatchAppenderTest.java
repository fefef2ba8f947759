package org.hickorymoor.daemon.stream;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import com.google.gson.JsonElement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorymoor.daemon.stream.FakeLog.Fault;
import org.hickorymoor.protocol.platform.LogRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class BatchAppenderTest {

  private static final AppenderSettings SETTINGS = new AppenderSettings(1024, 4096, 100, 1, 5);
  private static final long LONG_MS = 60_000;

  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);
  private final FakeLog log = new FakeLog();
  private final BatchAppender appender =
      new BatchAppender(
          new StreamContext(log, executor, BatchAppenderTest::nowMs, new MetricRegistry()),
          "s",
          "p1",
          new AppendRateLimiter(10_000, 100, BatchAppenderTest::nowMs),
          SETTINGS);

  @BeforeEach
  void start() {
    appender.start();
  }

  @AfterEach
  void stop() {
    appender.stop();
    executor.shutdownNow();
  }

  @Test
  void completesWithOffset() throws Exception {
    assertThat(appender.append("1", LONG_MS).get()).isEqualTo(0);
    assertThat(appender.append("2", LONG_MS).get()).isEqualTo(1);
  }

  @Test
  void batchesEntriesAddedDuringAppend() throws Exception {
    log.failAppends(Fault.REPLY_DELAYED);
    final var first = appender.append("1", LONG_MS);
    final var second = appender.append("2", LONG_MS);
    final var third = appender.append("3", LONG_MS);
    log.completeDelayedAppends();

    assertThat(first.get()).isEqualTo(0);
    assertThat(second.get()).isEqualTo(1);
    assertThat(third.get()).isEqualTo(1);
  }

  @Test
  void splitsEntriesIntoBatchesBySize() throws Exception {
    log.failAppends(Fault.REPLY_DELAYED);
    List<CompletableFuture<Long>> results = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      results.add(appender.append('"' + "x".repeat(500) + '"', LONG_MS));
    }
    log.completeDelayedAppends();

    assertThat(results.get(3).get()).isEqualTo(3);
    assertThat(log.records("s").stream().mapToInt(String::length).max().getAsInt()).isAtMost(1024);
  }

  @Test
  void retriedBatchIsReadOnce() throws Exception {
    log.failAppends(Fault.REPLY_LOST, Fault.REPLY_LOST);

    appender.append("1", LONG_MS).get();

    assertThat(log.records("s")).hasSize(3);
    assertThat(entries()).containsExactly("1");
  }

  @Test
  void retriesRefusedAppend() throws Exception {
    log.failAppends(Fault.REFUSED, Fault.REQUEST_LOST);

    appender.append("1", LONG_MS).get();

    assertThat(entries()).containsExactly("1");
  }

  @Test
  void failsAtDeadlineDuringOutage() throws Exception {
    log.setUnavailable(true);
    // One thread and a long backoff: once the first append is refused, none is in flight.
    ScheduledExecutorService single = Executors.newSingleThreadScheduledExecutor();
    AtomicLong clockMs = new AtomicLong();
    MetricRegistry metrics = new MetricRegistry();
    BatchAppender paused =
        new BatchAppender(
            new StreamContext(log, single, clockMs::get, metrics),
            "s",
            "p1",
            new AppendRateLimiter(10_000, 100, clockMs::get),
            new AppenderSettings(1024, 4096, 100, LONG_MS, LONG_MS));
    paused.start();
    final var result = paused.append("1", 1);
    await().until(() -> metrics.meter("stream.s.appendFailures").getCount() == 1);
    single.submit(() -> {}).get();

    clockMs.set(2);

    AppendFailedException failure = failureOf(result);
    assertThat(failure.type()).isEqualTo(AppendFailedException.Type.DEADLINE_PASSED);
    assertThat(failure.mayBeInLog()).isFalse();
    paused.stop();
    single.shutdownNow();
  }

  @Test
  void appendWithoutTimeoutSurvivesOutage() throws Exception {
    log.setUnavailable(true);
    var waiting = appender.appendWithoutTimeout("1");
    failureOf(appender.append("2", 1));
    log.setUnavailable(false);

    assertThat(waiting.get()).isEqualTo(0);
    assertThat(entries()).containsExactly("1");
  }

  @Test
  void unansweredEntryMayBeInLog() {
    log.failAppends(Fault.REPLY_DELAYED);

    AppendFailedException failure = failureOf(appender.append("1", 1));

    assertThat(failure.mayBeInLog()).isTrue();
  }

  @Test
  void rejectsEntriesBeyondQueueLimit() {
    log.setUnavailable(true);
    for (int i = 0; i < 8; i++) {
      var unused = appender.appendWithoutTimeout('"' + "x".repeat(500) + '"');
    }

    AppendFailedException failure =
        failureOf(appender.appendWithoutTimeout('"' + "x".repeat(500) + '"'));

    assertThat(failure.type()).isEqualTo(AppendFailedException.Type.QUEUE_FULL);
  }

  @Test
  void stopFailsPendingEntries() {
    log.setUnavailable(true);
    var waiting = appender.appendWithoutTimeout("1");
    appender.stop();

    assertThat(failureOf(waiting).type()).isEqualTo(AppendFailedException.Type.STOPPED);
    assertThat(failureOf(appender.appendWithoutTimeout("2")).type())
        .isEqualTo(AppendFailedException.Type.STOPPED);
  }

  @Test
  void rejectsInvalidJson() {
    assertThrows(
        com.google.gson.JsonParseException.class, () -> appender.append("{\"a\":", LONG_MS));
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private List<String> entries() {
    List<String> entries = new ArrayList<>();
    BatchListener reader =
        new BatchListener(
            new EntryListener() {
              @Override
              public void onEntry(EntryPosition position, JsonElement entry) {
                entries.add(entry.toString());
              }

              @Override
              public void onGap(StreamGap gap) {}
            });
    log.records("s").forEach(data -> reader.onRecord(new LogRecord(0, data)));
    return entries;
  }

  private static AppendFailedException failureOf(CompletableFuture<Long> result) {
    await().until(result::isDone);
    ExecutionException wrapper = assertThrows(ExecutionException.class, result::get);
    return (AppendFailedException) wrapper.getCause();
  }
}
