package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.junit.jupiter.api.Test;

final class LatestRecordReaderTest {

  private final VirtualTime time = new VirtualTime(5);
  private final FakeStore store = new FakeStore(time);
  private final List<String> handled = new ArrayList<>();
  private boolean complete;

  /** Fails for records whose keys start with "odd". */
  private final class Handler implements LatestRecordReader.Handler {
    @Override
    public boolean isClosed() {
      return false;
    }

    @Override
    public void onRecord(StoredRecord stored) {
      if (stored.key().startsWith("odd")) {
        throw new IllegalStateException("not a record");
      }
      handled.add(stored.key());
    }

    @Override
    public void onComplete(long endOffset) {
      complete = true;
    }
  }

  // Guards against a takeover that one record of a list keeps from completing.
  @Test
  void recordThatCannotBeHandledDoesNotEndTheReading() {
    for (String key : List.of("a", "odd", "z")) {
      store.put(KeyedStream.LEDGER, key, new byte[] {1});
    }

    LatestRecordReader.read(
        time.new HostEventLoop(), store.port("h"), KeyedStream.LEDGER, new Handler());

    assertThat(time.advanceUntil(1_000, () -> complete)).isTrue();
    assertThat(handled).containsExactly("a", "z").inOrder();
  }
}
