package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.junit.jupiter.api.Test;

final class SubmissionReaderTest {

  private static final KeyedStream LANE = KeyedStream.submissionPartitions().get(0);

  private final VirtualTime time = new VirtualTime(5);
  private final FakeStore store = new FakeStore(time);
  private final List<String> seen = new ArrayList<>();

  private void take(KeyedStream lane, StoredRecord stored) {
    if (stored.key().startsWith("bad")) {
      throw new IllegalStateException("not a record");
    }
    seen.add(stored.key());
  }

  @Test
  void recordThatCanNotBeHandledHidesNoneOfThoseAfterIt() {
    store.put(LANE, "bad1", new byte[] {1});
    store.put(LANE, "good1", new byte[] {1});
    SubmissionReader intake =
        new SubmissionReader(time.new HostEventLoop(), store.port("h"), LANE, this::take);
    boolean[] loaded = {false};

    intake.start(() -> loaded[0] = true);
    time.passUntil(1_000, () -> loaded[0]);
    time.pass(100);
    store.put(LANE, "bad2", new byte[] {1});
    time.pass(100);
    store.put(LANE, "good2", new byte[] {1});
    time.pass(100);

    assertThat(seen).containsExactly("good1", "good2").inOrder();
  }
}
