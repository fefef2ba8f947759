package org.hickorymoor.daemon.peer;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * What each end says of itself first. Fields that later versions add at the end are passed over.
 *
 * @param maxVersion newest version of bodies that it speaks
 * @param region its region
 * @param domain its failure domain
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
            "expected 3 fields and a version, got " + size + " and " + maxVersion);
      }
      return new Hello(maxVersion, in.unpackString(), in.unpackString());
    } catch (IOException | MessagePackException e) {
      throw FrameException.malformed("expected a readable hello: " + e);
    }
  }
}
