package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class WorkerCatalogTest {

  private static final int WORKERS = 30;
  private static final long TIMEOUT_MS = 2_000;
  private static final byte[] READY = "ready".getBytes(UTF_8);
  private static final byte[] ODD = "odd".getBytes(UTF_8);

  private final PrintStream standardError = System.err;
  private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
  private final VirtualTime time = new VirtualTime(5);
  private final FakeStore store = new FakeStore(time);
  private final VirtualTime.HostEventLoop loop = time.new HostEventLoop();
  private final WorkerCatalog catalog =
      new WorkerCatalog(loop, store.port("h"), WorkerCatalogTest::decode, FakeWorkers.HEARTBEAT_MS);
  private final Set<String> departed = new HashSet<>();
  private Map<String, WorkerDescriptor> listed = Map.of();

  private static WorkerDescriptor decode(String id, byte[] value) {
    if (new String(value, UTF_8).startsWith("odd")) {
      throw new NumberFormatException("not a number: " + "9".repeat(200_000));
    }
    return FakeWorkers.decode(id, value);
  }

  private void startCatalog() {
    catalog.start(
        (workers, departedNow) -> {
          listed = workers;
          departed.addAll(departedNow);
        });
  }

  private boolean isListed(String... ids) {
    return time.advanceUntil(TIMEOUT_MS, () -> listed.keySet().equals(Set.of(ids)));
  }

  private List<String> logLinesAbout(String text) {
    return logged.toString(UTF_8).lines().filter(line -> line.contains(text)).toList();
  }

  @AfterEach
  void restoreStandardError() {
    System.setErr(standardError);
  }

  private void captureLog() {
    System.setErr(new PrintStream(logged, true, UTF_8));
  }

  // Guards against an odd entry in the first load after which the list is not followed.
  @Test
  void entryThatCannotBeDecodedInTheFirstLoadHidesNoOtherWorker() {
    store.put(KeyedStream.WORKERS, "a", READY);
    store.put(KeyedStream.WORKERS, "m", ODD);
    store.put(KeyedStream.WORKERS, "z", READY);

    startCatalog();

    assertThat(isListed("a", "z")).isTrue();
    store.put(KeyedStream.WORKERS, "later", READY);
    assertThat(isListed("a", "z", "later")).isTrue();
  }

  // Guards against an odd entry after which the list is not followed any more.
  @Test
  void entryThatCannotBeDecodedLaterHidesNoOtherWorker() {
    store.put(KeyedStream.WORKERS, "a", READY);
    startCatalog();
    assertThat(isListed("a")).isTrue();

    store.put(KeyedStream.WORKERS, "m", ODD);
    store.put(KeyedStream.WORKERS, "z", READY);

    assertThat(isListed("a", "z")).isTrue();
    store.put(KeyedStream.WORKERS, "a", new byte[0]);
    assertThat(isListed("z")).isTrue();
  }

  // Guards against a worker that stays in use after its entry was overwritten by an odd one.
  @Test
  void workerWhoseEntryCannotBeDecodedIsNotListedUntilItIsReplaced() {
    store.put(KeyedStream.WORKERS, "a", READY);
    store.put(KeyedStream.WORKERS, "b", READY);
    startCatalog();
    assertThat(isListed("a", "b")).isTrue();

    store.put(KeyedStream.WORKERS, "b", ODD);
    assertThat(isListed("a")).isTrue();

    store.put(KeyedStream.WORKERS, "b", READY);
    assertThat(isListed("a", "b")).isTrue();
  }

  // Guards against an odd entry that fills the log.
  @Test
  void entryThatCannotBeDecodedIsNamedInOneBoundedLogLine() {
    store.put(KeyedStream.WORKERS, "a", READY);
    store.put(KeyedStream.WORKERS, "odd-entry", ODD);
    captureLog();

    startCatalog();
    assertThat(isListed("a")).isTrue();
    for (int i = 0; i < 20; i++) {
      store.put(KeyedStream.WORKERS, "odd-entry", ("odd" + i).getBytes(UTF_8));
      time.advance(1_000);
    }

    List<String> lines = logLinesAbout("odd-entry");
    assertThat(lines).hasSize(1);
    assertThat(lines.get(0).length()).isLessThan(1_000);
    assertThat(logLinesAbout("9".repeat(1_000))).isEmpty();
  }

  // Guards against an order of workers that differs from process to process.
  @Test
  void listsWorkersInTheOrderOfTheirRecords() {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      ids.add(String.format("w%02d", i));
    }
    ids.forEach(id -> store.put(KeyedStream.WORKERS, id, READY));

    startCatalog();
    time.advance(1_000);
    assertThat(listed.keySet()).containsExactlyElementsIn(ids).inOrder();

    store.put(KeyedStream.WORKERS, "v00", READY);
    ids.add("v00");
    time.advance(1_000);
    assertThat(listed.keySet()).containsExactlyElementsIn(ids).inOrder();
  }

  /** Lists a worker, and removes its entry after some time without a heartbeat. */
  private void listAndRemoveAfter(long silentMs) {
    startCatalog();
    time.advance(1_000);
    store.put(KeyedStream.WORKERS, "a", READY);
    time.advance(silentMs);
    store.put(KeyedStream.WORKERS, "a", new byte[0]);
    time.advance(1_000);
    assertThat(listed).isEmpty();
  }

  @Test
  void workerWhoseEntryIsRemovedSoonAfterItsHeartbeatHasDeparted() {
    listAndRemoveAfter(FakeWorkers.HEARTBEAT_MS);

    assertThat(departed).containsExactly("a");
  }

  // Guards against an expired entry that passes for the departure of its worker.
  @Test
  void workerWhoseEntryExpiresHasNotDeparted() {
    listAndRemoveAfter(3 * FakeWorkers.HEARTBEAT_MS);

    assertThat(departed).isEmpty();
  }

  // Guards against an expired entry that looks fresh, since the steady clock stood still.
  @Test
  void entryThatExpiresWhileTheHostIsSuspendedIsNoDeparture() {
    time.after(2_000, () -> loop.suspend(4_000));

    listAndRemoveAfter(3 * FakeWorkers.HEARTBEAT_MS);
    time.advance(4_000);

    assertThat(departed).isEmpty();
  }

  @Test
  void entryThatIsRemovedAroundOutageOfTheStoreIsNoDeparture() {
    time.after(1_500, () -> store.setUnresponsive(true));
    time.after(2_200, () -> store.setUnresponsive(false));

    listAndRemoveAfter(FakeWorkers.HEARTBEAT_MS);

    assertThat(departed).isEmpty();
  }

  @Test
  void workerOfTheFirstLoadWhoseHeartbeatIsUnknownHasNotDeparted() {
    store.put(KeyedStream.WORKERS, "a", READY);
    startCatalog();
    time.advance(1_000);
    store.put(KeyedStream.WORKERS, "a", new byte[0]);

    assertThat(isListed()).isTrue();
    assertThat(departed).isEmpty();
  }

  @Test
  void workerWhoseEntryBecomesUnusableHasNotDeparted() {
    startCatalog();
    time.advance(1_000);
    store.put(KeyedStream.WORKERS, "a", READY);
    assertThat(isListed("a")).isTrue();
    store.put(KeyedStream.WORKERS, "a", ODD);

    assertThat(isListed()).isTrue();
    assertThat(departed).isEmpty();
  }
}
