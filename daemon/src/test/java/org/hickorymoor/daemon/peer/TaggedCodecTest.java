package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class TaggedCodecTest {

  private static final int MAX_BYTES = 1 << 20;

  @Property(seed = "41", tries = 300)
  void requestsRoundTripInEveryVersion(@ForAll Random random) throws Exception {
    for (Class<?> type : PeerRequest.class.getPermittedSubclasses()) {
      PeerRequest request = (PeerRequest) new RandomRecords(random).ofType(type);

      for (int version = BodyVersion.OLDEST; version <= BodyVersion.NEWEST; version++) {
        byte[] body = BodyVersion.wrap(version, RequestCodec.CODEC.encode(request));
        byte[] packed = BodyVersion.unwrap(version, body, MAX_BYTES);
        assertThat(RequestCodec.CODEC.decode(packed)).isEqualTo(request);
      }
    }
  }

  @Property(seed = "42", tries = 300)
  void repliesRoundTripInEveryVersion(@ForAll Random random) throws Exception {
    for (Class<?> type : PeerReply.class.getPermittedSubclasses()) {
      PeerReply reply = (PeerReply) new RandomRecords(random).ofType(type);

      for (int version = BodyVersion.OLDEST; version <= BodyVersion.NEWEST; version++) {
        byte[] body = BodyVersion.wrap(version, ReplyCodec.CODEC.encode(reply));
        byte[] packed = BodyVersion.unwrap(version, body, MAX_BYTES);
        assertThat(ReplyCodec.CODEC.decode(packed)).isEqualTo(reply);
      }
    }
  }

  @Property(seed = "43", tries = 2_000)
  void corruptedBodyIsDecodedOrRejectedAsMalformed(@ForAll Random random) throws Exception {
    byte[] packed =
        RequestCodec.CODEC.encode(new RandomRecords(random).ofType(PeerRequest.SubmitJob.class));
    for (int i = 0; i <= random.nextInt(4); i++) {
      packed[random.nextInt(packed.length)] = (byte) random.nextInt();
    }

    try {
      assertThat(RequestCodec.CODEC.decode(packed)).isNotNull();
    } catch (FrameException e) {
      assertThat(e.type()).isEqualTo(FrameErrorType.MALFORMED);
    }
  }

  @Property(seed = "44", tries = 100)
  void truncatedBodyIsRejected(@ForAll Random random) throws Exception {
    byte[] packed =
        RequestCodec.CODEC.encode(new RandomRecords(random).ofType(PeerRequest.GetJob.class));
    byte[] truncated = Arrays.copyOf(packed, random.nextInt(packed.length));

    FrameException e =
        assertThrows(FrameException.class, () -> RequestCodec.CODEC.decode(truncated));
    assertThat(e.type()).isEqualTo(FrameErrorType.MALFORMED);
  }
}
