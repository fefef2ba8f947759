package org.hickorymoor.daemon.peer;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Body of a hello frame. Additional fields at the end, sent by later versions, are ignored.
 *
 * @param maxVersion newest body version that the sender supports
 * @param region region of the sender
 * @param domain failure domain of the sender
 */
record Hello(int maxVersion, String region, String domain) {

  private static final int FIELDS = 3;

  byte[] encode() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packArrayHeader(FIELDS);
      out.packInt(maxVersion);
      out.packString(region);
      out.packString(domain);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory does no I/O", e);
    }
  }

  static Hello decode(byte[] body) throws FrameException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      int size = in.unpackArrayHeader();
      int maxVersion = in.unpackInt();
      if (size < FIELDS || maxVersion < BodyVersion.OLDEST) {
        throw FrameException.malformed(
            "invalid hello: number of fields " + size + ", maximum version " + maxVersion);
      }
      return new Hello(maxVersion, in.unpackString(), in.unpackString());
    } catch (IOException | MessagePackException e) {
      throw FrameException.malformed("cannot decode hello: " + e);
    }
  }
}
