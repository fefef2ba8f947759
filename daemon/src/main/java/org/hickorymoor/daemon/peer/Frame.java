package org.hickorymoor.daemon.peer;

import java.nio.ByteBuffer;

/**
 * One frame: four bytes of length, one of version, one of kind, four of id where the kind has one,
 * then the body. This header is the same in all versions; the version governs the body.
 *
 * @param version version of the body
 * @param kind what it is for
 * @param id matches a reply to its request; 0 for kinds without id
 * @param body the rest
 */
@SuppressWarnings("ArrayRecordComponent")
record Frame(int version, FrameKind kind, int id, byte[] body) {

  /** Bytes of the length field, which does not count itself. */
  static final int LENGTH_BYTES = 4;

  /** Bytes of version and kind. */
  static final int VERSION_AND_KIND_BYTES = 2;

  /** Bytes of the id. */
  static final int ID_BYTES = 4;

  /** Largest number of bytes before the body. */
  static final int MAX_HEADER_BYTES = LENGTH_BYTES + VERSION_AND_KIND_BYTES + ID_BYTES;

  private static final byte[] EMPTY = {};

  static Frame heartbeat() {
    return new Frame(BodyVersion.OLDEST, FrameKind.HEARTBEAT, 0, EMPTY);
  }

  static Frame goAway() {
    return new Frame(BodyVersion.OLDEST, FrameKind.GO_AWAY, 0, EMPTY);
  }

  /** Returns the number of bytes on the wire. */
  int wireBytes() {
    return LENGTH_BYTES + VERSION_AND_KIND_BYTES + (kind.hasId() ? ID_BYTES : 0) + body.length;
  }

  /** Writes the frame into a new buffer, ready to be sent. */
  ByteBuffer encode() {
    ByteBuffer out = ByteBuffer.allocate(wireBytes());
    out.putInt(wireBytes() - LENGTH_BYTES);
    out.put((byte) version);
    out.put(kind.code());
    if (kind.hasId()) {
      out.putInt(id);
    }
    out.put(body);
    return out.flip();
  }

  /**
   * Reads what follows the length field.
   *
   * @param in exactly the bytes that the length counts
   * @return the frame
   * @throws FrameException if its kind is not known or it is cut short
   */
  static Frame decode(ByteBuffer in) throws FrameException {
    if (in.remaining() < VERSION_AND_KIND_BYTES) {
      throw FrameException.malformed(
          "expected at least " + VERSION_AND_KIND_BYTES + " bytes, got " + in.remaining());
    }
    final int version = Byte.toUnsignedInt(in.get());
    byte code = in.get();
    FrameKind kind = FrameKind.ofCode(code);
    if (kind == null) {
      throw FrameException.malformed("expected a known frame kind, got " + code);
    }
    if (kind.hasId() && in.remaining() < ID_BYTES) {
      throw FrameException.malformed("expected an id in a frame of kind " + kind + ", got its end");
    }
    int id = kind.hasId() ? in.getInt() : 0;
    byte[] body = new byte[in.remaining()];
    in.get(body);
    return new Frame(version, kind, id, body);
  }
}
