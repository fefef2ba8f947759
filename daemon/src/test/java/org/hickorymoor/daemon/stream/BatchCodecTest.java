package org.hickorymoor.daemon.stream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class BatchCodecTest {

  @Test
  void encodesEnvelope() {
    String data = BatchCodec.encode(new BatchId("p", 7), List.of("1", "{\"a\":2}"));

    assertThat(data).isEqualTo("{\"b\":\"p:7\",\"e\":[1,{\"a\":2}]}");
  }

  @Test
  void roundTrip() throws MalformedBatchException {
    Batch batch = BatchCodec.decode(BatchCodec.encode(new BatchId("p", 7), List.of("1")));

    assertThat(batch.id()).isEqualTo(new BatchId("p", 7));
    assertThat(batch.entries().toString()).isEqualTo("[1]");
  }

  @Property(seed = "22")
  void rejectsMalformedBatch(@ForAll String text) {
    assertThrows(MalformedBatchException.class, () -> BatchCodec.decode(text));
    assertThrows(MalformedBatchException.class, () -> BatchCodec.decode("{\"b\":\"x\",\"e\":1}"));
  }
}
