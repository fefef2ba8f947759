package org.hickorymoor.daemon.peer;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Encodings of frame bodies, by version.
 *
 * <p>Version 1 is plain MessagePack. Version 2 adds a one-byte prefix that tells whether the rest
 * is plain or deflated; large bodies are deflated, since traffic between regions is billed.
 */
final class BodyVersion {

  /** Plain MessagePack, supported by every daemon. */
  static final int OLDEST = 1;

  /** MessagePack with a prefix byte; large bodies are deflated. */
  static final int NEWEST = 2;

  /** Maximum size of a prefix, over all versions. */
  static final int PREFIX_BYTES = 1;

  private static final byte PLAIN = 0;
  private static final byte DEFLATED = 1;
  private static final int MIN_DEFLATE_BYTES = 512;
  private static final int CHUNK_BYTES = 4_096;

  /** Reused per thread, since each deflater allocates about 256 KiB outside the heap. */
  private static final ThreadLocal<Deflater> DEFLATER =
      ThreadLocal.withInitial(() -> new Deflater(Deflater.BEST_SPEED, true));

  private static final ThreadLocal<Inflater> INFLATER =
      ThreadLocal.withInitial(() -> new Inflater(true));

  private BodyVersion() {}

  static boolean isSupported(int version, int maxVersion) {
    return version >= OLDEST && version <= maxVersion;
  }

  /**
   * Encodes a body.
   *
   * @param version version of the body
   * @param packed the message as MessagePack
   * @return the body
   */
  static byte[] wrap(int version, byte[] packed) {
    if (version == OLDEST) {
      return packed;
    }
    if (packed.length < MIN_DEFLATE_BYTES) {
      return withPrefix(PLAIN, packed);
    }
    byte[] deflated = deflate(packed);
    return deflated.length <= packed.length ? deflated : withPrefix(PLAIN, packed);
  }

  /**
   * Decodes a body, inflating it if it is deflated.
   *
   * @param version version of the body
   * @param body the body
   * @param maxBytes limit on the inflated size
   * @return the message as MessagePack
   * @throws FrameException if the body is malformed or exceeds the limit
   */
  static byte[] unwrap(int version, byte[] body, int maxBytes) throws FrameException {
    if (version == OLDEST) {
      return body;
    }
    if (body.length == 0) {
      throw FrameException.malformed("the body is empty, expected a prefix byte");
    }
    if (body[0] == PLAIN) {
      return Arrays.copyOfRange(body, PREFIX_BYTES, body.length);
    }
    if (body[0] == DEFLATED) {
      return inflate(body, maxBytes);
    }
    throw FrameException.malformed("expected prefix byte 0 or 1, got " + body[0]);
  }

  private static byte[] withPrefix(byte prefix, byte[] bytes) {
    byte[] out = new byte[PREFIX_BYTES + bytes.length];
    out[0] = prefix;
    System.arraycopy(bytes, 0, out, PREFIX_BYTES, bytes.length);
    return out;
  }

  private static byte[] deflate(byte[] packed) {
    Deflater deflater = DEFLATER.get();
    deflater.reset();
    deflater.setInput(packed);
    deflater.finish();
    ByteArrayOutputStream out = new ByteArrayOutputStream(CHUNK_BYTES);
    out.write(DEFLATED);
    byte[] chunk = new byte[CHUNK_BYTES];
    while (!deflater.finished()) {
      out.write(chunk, 0, deflater.deflate(chunk));
    }
    return out.toByteArray();
  }

  private static byte[] inflate(byte[] body, int maxBytes) throws FrameException {
    Inflater inflater = INFLATER.get();
    inflater.reset();
    inflater.setInput(body, PREFIX_BYTES, body.length - PREFIX_BYTES);
    ByteArrayOutputStream out = new ByteArrayOutputStream(CHUNK_BYTES);
    byte[] chunk = new byte[CHUNK_BYTES];
    try {
      while (!inflater.finished()) {
        int inflatedBytes = inflater.inflate(chunk);
        if (inflatedBytes == 0 && !inflater.finished()) {
          throw FrameException.malformed("the deflated body is truncated");
        }
        if (out.size() + inflatedBytes > maxBytes) {
          throw new FrameException(
              FrameErrorType.TOO_LARGE, 0, "the inflated body exceeds " + maxBytes + " bytes");
        }
        out.write(chunk, 0, inflatedBytes);
      }
    } catch (DataFormatException e) {
      throw FrameException.malformed("cannot inflate the body: " + e.getMessage());
    }
    return out.toByteArray();
  }
}
