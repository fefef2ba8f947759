package org.hickorymoor.daemon.peer;

import java.nio.ByteBuffer;

/**
 * A frame: 4 bytes length, 1 byte version, 1 byte kind, 4 bytes id if the kind has one, then the
 * body. The header is the same in all versions; the version determines how the body is encoded.
 *
 * @param version version of the body
 * @param kind kind of the frame
 * @param id matches a reply to its request; 0 for kinds without id
 * @param body the encoded body
 */
@SuppressWarnings("ArrayRecordComponent")
record Frame(int version, FrameKind kind, int id, byte[] body) {

  /** Size of the length field; the length does not include the field itself. */
  static final int LENGTH_BYTES = 4;

  /** Size of the version and kind fields. */
  static final int VERSION_AND_KIND_BYTES = 2;

  /** Size of the id field. */
  static final int ID_BYTES = 4;

  /** Maximum number of bytes before the body. */
  static final int MAX_HEADER_BYTES = LENGTH_BYTES + VERSION_AND_KIND_BYTES + ID_BYTES;

  private static final byte[] EMPTY = {};

  static Frame heartbeat() {
    return new Frame(BodyVersion.OLDEST, FrameKind.HEARTBEAT, 0, EMPTY);
  }

  static Frame goAway() {
    return new Frame(BodyVersion.OLDEST, FrameKind.GO_AWAY, 0, EMPTY);
  }

  /** Returns the encoded size, including the length field. */
  int wireBytes() {
    return LENGTH_BYTES + VERSION_AND_KIND_BYTES + (kind.hasId() ? ID_BYTES : 0) + body.length;
  }

  /** Encodes the frame into a new buffer, flipped for reading. */
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
   * Decodes the part of a frame after the length field.
   *
   * @param in exactly the bytes covered by the length field
   * @return the frame
   * @throws FrameException if the kind is unknown or the frame is truncated
   */
  static Frame decode(ByteBuffer in) throws FrameException {
    if (in.remaining() < VERSION_AND_KIND_BYTES) {
      throw FrameException.malformed(
          "frame is truncated: expected at least "
              + VERSION_AND_KIND_BYTES
              + " bytes, got "
              + in.remaining());
    }
    final int version = Byte.toUnsignedInt(in.get());
    byte code = in.get();
    FrameKind kind = FrameKind.ofCode(code);
    if (kind == null) {
      throw FrameException.malformed("unknown frame kind " + code);
    }
    if (kind.hasId() && in.remaining() < ID_BYTES) {
      throw FrameException.malformed("frame of kind " + kind + " is truncated: no id");
    }
    int id = kind.hasId() ? in.getInt() : 0;
    byte[] body = new byte[in.remaining()];
    in.get(body);
    return new Frame(version, kind, id, body);
  }
}
