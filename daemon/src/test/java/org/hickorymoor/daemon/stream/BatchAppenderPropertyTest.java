package org.hickorymoor.daemon.stream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonElement;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorymoor.daemon.stream.FakeLog.Fault;
import org.hickorymoor.protocol.platform.LogRecord;

/**
 * Checks the result of each append under random lost replies, refusals, outages and deadlines: a
 * completed entry is in the log exactly once, and an entry reported as absent never is.
 */
final class BatchAppenderPropertyTest {

  private static final int STEPS = 60;
  private static final long SETTLE_MS = 60_000;
  private static final Fault[] FAULTS = {
    Fault.REFUSED,
    Fault.REPLY_LOST,
    Fault.REPLY_LOST_THEN_UNAVAILABLE,
    Fault.REQUEST_LOST,
    Fault.REPLY_DELAYED
  };

  @Property(seed = "61", tries = 300)
  void resultsMatchLogContents(@ForAll long seed) throws Exception {
    Random random = new Random(seed);
    FakeLog log = new FakeLog();
    VirtualTime time = new VirtualTime();
    AppendRateLimiter rateLimiter = new AppendRateLimiter(20, 5, time::nowMs);
    BatchAppender appender =
        new BatchAppender(
            time.context(log, seed),
            "s",
            "p1",
            rateLimiter,
            new AppenderSettings(1024, 8192, 100, 1, 50));
    appender.start();
    List<CompletableFuture<Long>> results = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      switch (random.nextInt(6)) {
        case 0, 1, 2 -> results.add(append(appender, results.size(), random));
        case 3 -> log.failAppends(FAULTS[random.nextInt(FAULTS.length)]);
        case 4 -> log.setUnavailable(random.nextInt(3) == 0);
        default -> log.completeDelayedAppends();
      }
      time.advance(random.nextInt(300));
    }
    log.setUnavailable(false);
    log.completeDelayedAppends();
    time.advance(SETTLE_MS);
    appender.stop();

    List<Integer> entries = entries(log);
    assertThat(entries).containsNoDuplicates();
    for (int i = 0; i < results.size(); i++) {
      check(i, results.get(i), entries);
    }
  }

  private static CompletableFuture<Long> append(BatchAppender appender, int number, Random random) {
    String json = Integer.toString(number);
    return random.nextBoolean()
        ? appender.appendWithoutTimeout(json)
        : appender.append(json, 1 + random.nextInt(1000));
  }

  private static void check(int number, CompletableFuture<Long> result, List<Integer> entries)
      throws InterruptedException {
    assertThat(result.isDone()).isTrue();
    int count = Collections.frequency(entries, number);
    if (!result.isCompletedExceptionally()) {
      assertWithMessage("entry %s", number).that(count).isEqualTo(1);
      return;
    }
    ExecutionException wrapper = assertThrows(ExecutionException.class, result::get);
    AppendFailedException failure = (AppendFailedException) wrapper.getCause();
    if (!failure.mayBeInLog()) {
      assertWithMessage("entry %s", number).that(count).isEqualTo(0);
    }
  }

  private static List<Integer> entries(FakeLog log) {
    List<Integer> entries = new ArrayList<>();
    BatchListener reader =
        new BatchListener(
            new EntryListener() {
              @Override
              public void onEntry(EntryPosition position, JsonElement entry) {
                entries.add(entry.getAsInt());
              }

              @Override
              public void onGap(StreamGap gap) {}
            });
    log.records("s").forEach(data -> reader.onRecord(new LogRecord(0, data)));
    return entries;
  }
}
