package org.hickorymoor.daemon.peer;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Cuts a stream of bytes into frames.
 *
 * <p>Holds no memory between frames, and for a frame that is on its way no more than twice the
 * bytes that have come. Not safe for use by several threads.
 */
final class FrameReader {

  /** Takes the frames. */
  interface Sink {
    void accept(Frame frame) throws FrameException;
  }

  private static final byte[] EMPTY = {};
  private static final int MIN_CAPACITY_BYTES = 64;

  private final int maxFrameBytes;
  private byte[] partial = EMPTY;
  private int partialBytes;

  FrameReader(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Takes bytes and passes on each frame that they complete.
   *
   * @param in the bytes, all of which are taken
   * @param sink takes the frames
   * @throws FrameException if a frame can't be taken; the stream is of no more use then
   */
  void feed(ByteBuffer in, Sink sink) throws FrameException {
    while (in.hasRemaining()) {
      int requiredBytes = requiredBytes();
      collect(in, requiredBytes);
      if (partialBytes == requiredBytes && requiredBytes == requiredBytes()) {
        emit(sink);
      }
    }
  }

  /** Returns how many bytes the present frame needs, as far as that is known yet. */
  private int requiredBytes() throws FrameException {
    if (partialBytes < Frame.LENGTH_BYTES) {
      return Frame.LENGTH_BYTES;
    }
    int lengthBytes = ByteBuffer.wrap(partial).getInt();
    if (lengthBytes < Frame.VERSION_AND_KIND_BYTES) {
      throw FrameException.malformed("expected a length of at least 2, got " + lengthBytes);
    }
    if (lengthBytes > maxFrameBytes - Frame.LENGTH_BYTES) {
      return oversizeHeaderBytes(lengthBytes);
    }
    return Frame.LENGTH_BYTES + lengthBytes;
  }

  /** Reads on to the id of a frame that is too large, so that the error can name it. */
  private int oversizeHeaderBytes(int lengthBytes) throws FrameException {
    if (partialBytes < Frame.MAX_HEADER_BYTES) {
      return Frame.MAX_HEADER_BYTES;
    }
    FrameKind kind = FrameKind.ofCode(partial[Frame.LENGTH_BYTES + 1]);
    boolean hasId = kind != null && kind.hasId();
    int id =
        hasId
            ? ByteBuffer.wrap(partial).getInt(Frame.LENGTH_BYTES + Frame.VERSION_AND_KIND_BYTES)
            : 0;
    throw new FrameException(
        FrameErrorType.TOO_LARGE,
        id,
        "expected frames of at most " + maxFrameBytes + " bytes, got one of length " + lengthBytes);
  }

  private void collect(ByteBuffer in, int requiredBytes) {
    int copiedBytes = Math.min(requiredBytes - partialBytes, in.remaining());
    ensureCapacity(partialBytes + copiedBytes, requiredBytes);
    in.get(partial, partialBytes, copiedBytes);
    partialBytes += copiedBytes;
  }

  private void ensureCapacity(int neededBytes, int requiredBytes) {
    if (partial.length < neededBytes) {
      int doubledBytes = Math.min(2 * partial.length, requiredBytes);
      int capacityBytes = Math.max(Math.max(neededBytes, doubledBytes), MIN_CAPACITY_BYTES);
      partial = Arrays.copyOf(partial, capacityBytes);
    }
  }

  private void emit(Sink sink) throws FrameException {
    ByteBuffer frame =
        ByteBuffer.wrap(partial, Frame.LENGTH_BYTES, partialBytes - Frame.LENGTH_BYTES);
    partial = EMPTY;
    partialBytes = 0;
    sink.accept(Frame.decode(frame));
  }
}
