package org.hickorymoor.daemon.peer;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Body of an error frame.
 *
 * @param type kind of error
 * @param message details, with the expected and the actual values
 */
record FrameError(FrameErrorType type, String message) {

  private static final int FIELDS = 2;

  static FrameError of(FrameException e) {
    return new FrameError(e.type(), String.valueOf(e.getMessage()));
  }

  /** Returns the error frame, encoded in the oldest version so that every peer can read it. */
  Frame toFrame(int id) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packArrayHeader(FIELDS);
      out.packString(type.name());
      out.packString(message);
      return new Frame(BodyVersion.OLDEST, FrameKind.ERROR, id, out.toByteArray());
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory does no I/O", e);
    }
  }

  static FrameError decode(byte[] body) throws FrameException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(body)) {
      TaggedCodec.requireArraySize(in, FIELDS);
      return new FrameError(FieldCodec.readEnum(in, FrameErrorType.class), in.unpackString());
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw FrameException.malformed("cannot decode error frame: " + e);
    }
  }
}
