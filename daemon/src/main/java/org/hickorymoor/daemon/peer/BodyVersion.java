package org.hickorymoor.daemon.peer;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * The versions of frame bodies, side by side.
 *
 * <p>Version 1 is plain MessagePack. Version 2 puts one byte before it, which tells whether the
 * rest is plain or deflated; large bodies are deflated, since traffic between regions is billed.
 */
final class BodyVersion {

  /** Plain MessagePack; every daemon speaks it. */
  static final int OLDEST = 1;

  /** Large bodies deflated. */
  static final int NEWEST = 2;

  /** Most bytes that a version puts before MessagePack. */
  static final int PREFIX_BYTES = 1;

  private static final byte PLAIN = 0;
  private static final byte DEFLATED = 1;
  private static final int MIN_DEFLATE_BYTES = 512;
  private static final int CHUNK_BYTES = 4_096;

  /** Kept per thread, since each takes a quarter of a mebibyte outside the heap. */
  private static final ThreadLocal<Deflater> DEFLATER =
      ThreadLocal.withInitial(() -> new Deflater(Deflater.BEST_SPEED, true));

  private static final ThreadLocal<Inflater> INFLATER =
      ThreadLocal.withInitial(() -> new Inflater(true));

  private BodyVersion() {}

  static boolean isSupported(int version, int maxVersion) {
    return version >= OLDEST && version <= maxVersion;
  }

  /**
   * Turns MessagePack into a body.
   *
   * @param version version of the body
   * @param packed the MessagePack
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
   * Turns a body into MessagePack.
   *
   * @param version version of the body
   * @param body the body
   * @param maxBytes most bytes that it may inflate to
   * @return the MessagePack
   * @throws FrameException if the body can't be read
   */
  static byte[] unwrap(int version, byte[] body, int maxBytes) throws FrameException {
    if (version == OLDEST) {
      return body;
    }
    if (body.length == 0) {
      throw FrameException.malformed("expected a body, got none");
    }
    if (body[0] == PLAIN) {
      return Arrays.copyOfRange(body, PREFIX_BYTES, body.length);
    }
    if (body[0] == DEFLATED) {
      return inflate(body, maxBytes);
    }
    throw FrameException.malformed("expected 0 or 1 as first byte of the body, got " + body[0]);
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
          throw FrameException.malformed("expected more of a deflated body, got its end");
        }
        if (out.size() + inflatedBytes > maxBytes) {
          throw new FrameException(
              FrameErrorType.TOO_LARGE, 0, "expected at most " + maxBytes + " bytes inflated");
        }
        out.write(chunk, 0, inflatedBytes);
      }
    } catch (DataFormatException e) {
      throw FrameException.malformed("expected a deflated body: " + e.getMessage());
    }
    return out.toByteArray();
  }
}
