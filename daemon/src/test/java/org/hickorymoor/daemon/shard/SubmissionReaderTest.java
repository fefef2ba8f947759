package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.junit.jupiter.api.Test;

final class SubmissionReaderTest {

  private static final KeyedStream PARTITION = KeyedStream.submissionPartitions().get(0);

  private final VirtualTime time = new VirtualTime(5);
  private final FakeStore store = new FakeStore(time);
  private final List<String> handled = new ArrayList<>();

  private void handle(KeyedStream partition, StoredRecord stored) {
    if (stored.key().startsWith("bad")) {
      throw new IllegalStateException("not a record");
    }
    handled.add(stored.key());
  }

  @Test
  void recordThatCannotBeHandledDoesNotHideLaterRecords() {
    store.put(PARTITION, "bad1", new byte[] {1});
    store.put(PARTITION, "good1", new byte[] {1});
    SubmissionReader intake =
        new SubmissionReader(time.new HostEventLoop(), store.port("h"), PARTITION, this::handle);
    boolean[] loaded = {false};

    intake.start(() -> loaded[0] = true);
    time.advanceUntil(1_000, () -> loaded[0]);
    time.advance(100);
    store.put(PARTITION, "bad2", new byte[] {1});
    time.advance(100);
    store.put(PARTITION, "good2", new byte[] {1});
    time.advance(100);

    assertThat(handled).containsExactly("good1", "good2").inOrder();
  }
}
