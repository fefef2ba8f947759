package org.hickorymoor.daemon.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class BatchDeduplicatorTest {

  private final BatchDeduplicator seen = new BatchDeduplicator(2);

  @Property(seed = "21")
  void matchesSetWithinWindow(
      @ForAll @Size(max = 400)
          List<@LongRange(max = BatchDeduplicator.WINDOW_SIZE - 1) Long> sequences) {
    BatchDeduplicator filter = new BatchDeduplicator();
    Set<Long> set = new HashSet<>();
    for (long sequence : sequences) {
      assertThat(filter.addIfNew(new BatchId("p", sequence))).isEqualTo(set.add(sequence));
    }
  }

  @Test
  void treatsBatchOlderThanWindowAsDuplicate() {
    assertThat(seen.addIfNew(new BatchId("p", 1000))).isTrue();
    assertThat(seen.addIfNew(new BatchId("p", 1000 - BatchDeduplicator.WINDOW_SIZE))).isFalse();
    assertThat(seen.addIfNew(new BatchId("p", 1001 - BatchDeduplicator.WINDOW_SIZE))).isTrue();
  }

  @Test
  void evictsLeastRecentlySeenIncarnation() {
    seen.addIfNew(new BatchId("p1", 0));
    seen.addIfNew(new BatchId("p2", 0));
    seen.addIfNew(new BatchId("p1", 1));
    seen.addIfNew(new BatchId("p3", 0));

    assertThat(seen.addIfNew(new BatchId("p1", 0))).isFalse();
    assertThat(seen.addIfNew(new BatchId("p2", 0))).isTrue();
  }
}
