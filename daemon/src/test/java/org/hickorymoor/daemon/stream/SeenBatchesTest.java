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

final class SeenBatchesTest {

  private final SeenBatches seen = new SeenBatches(2);

  @Property(seed = "21")
  void agreesWithSetWithinTheWindow(
      @ForAll @Size(max = 400) List<@LongRange(max = SeenBatches.WINDOW - 1) Long> sequences) {
    SeenBatches filter = new SeenBatches();
    Set<Long> set = new HashSet<>();
    for (long sequence : sequences) {
      assertThat(filter.isFirst(new BatchId("p", sequence))).isEqualTo(set.add(sequence));
    }
  }

  @Test
  void countsBatchFromBeforeTheWindowAsCopy() {
    assertThat(seen.isFirst(new BatchId("p", 1000))).isTrue();
    assertThat(seen.isFirst(new BatchId("p", 1000 - SeenBatches.WINDOW))).isFalse();
    assertThat(seen.isFirst(new BatchId("p", 1001 - SeenBatches.WINDOW))).isTrue();
  }

  @Test
  void forgetsTheIncarnationLeastRecentlyHeardOf() {
    seen.isFirst(new BatchId("p1", 0));
    seen.isFirst(new BatchId("p2", 0));
    seen.isFirst(new BatchId("p1", 1));
    seen.isFirst(new BatchId("p3", 0));

    assertThat(seen.isFirst(new BatchId("p1", 0))).isFalse();
    assertThat(seen.isFirst(new BatchId("p2", 0))).isTrue();
  }
}
