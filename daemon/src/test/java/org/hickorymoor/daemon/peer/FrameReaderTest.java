package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class FrameReaderTest {

  private static final int MAX_FRAME_BYTES = 4_096;

  private final FrameReader reader = new FrameReader(MAX_FRAME_BYTES);

  @Property(seed = "51", tries = 300)
  void framesAreReassembledFromChunksOfAnySize(@ForAll Random random) throws Exception {
    ByteBuffer stream = ByteBuffer.allocate(100_000);
    for (int id = 1; id <= 20; id++) {
      byte[] body = new byte[random.nextInt(2_000)];
      random.nextBytes(body);
      stream.put(new Frame(1, FrameKind.REQUEST, id, body).encode());
    }
    stream.flip();

    List<Integer> ids = new ArrayList<>();
    while (stream.hasRemaining()) {
      int chunkBytes = Math.min(stream.remaining(), 1 + random.nextInt(3_000));
      reader.feed(stream.slice(stream.position(), chunkBytes), frame -> ids.add(frame.id()));
      stream.position(stream.position() + chunkBytes);
    }

    assertThat(ids).hasSize(20);
    assertThat(ids).isInStrictOrder();
  }

  @Test
  void oversizedFrameIsRejectedWithItsId() {
    Frame frame = new Frame(1, FrameKind.REQUEST, 7, new byte[MAX_FRAME_BYTES]);

    FrameException e =
        assertThrows(FrameException.class, () -> reader.feed(frame.encode(), ignored -> {}));

    assertThat(e.type()).isEqualTo(FrameErrorType.TOO_LARGE);
    assertThat(e.id()).isEqualTo(7);
  }

  @Test
  void negativeLengthIsMalformed() {
    ByteBuffer stream = ByteBuffer.wrap(new byte[] {-1, -1, -1, -1, 1, 2});

    FrameException e = assertThrows(FrameException.class, () -> reader.feed(stream, ignored -> {}));

    assertThat(e.type()).isEqualTo(FrameErrorType.MALFORMED);
  }
}
