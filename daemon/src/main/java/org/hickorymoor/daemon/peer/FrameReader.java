package org.hickorymoor.daemon.peer;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits a stream of bytes into frames.
 *
 * <p>Keeps no buffer between frames, and for a partial frame at most twice the bytes received. Not
 * safe for use by several threads.
 */
final class FrameReader {

  /** Receives the decoded frames. */
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
   * Consumes bytes and passes each completed frame to the sink.
   *
   * @param in received bytes; all are consumed
   * @param sink receives the frames
   * @throws FrameException if a frame is invalid; the reader must not be used afterwards
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

  /** Returns the size of the current frame, or of the part of its header that is read next. */
  private int requiredBytes() throws FrameException {
    if (partialBytes < Frame.LENGTH_BYTES) {
      return Frame.LENGTH_BYTES;
    }
    int lengthBytes = ByteBuffer.wrap(partial).getInt();
    if (lengthBytes < Frame.VERSION_AND_KIND_BYTES) {
      throw FrameException.malformed(
          "invalid frame length: expected at least 2, got " + lengthBytes);
    }
    if (lengthBytes > maxFrameBytes - Frame.LENGTH_BYTES) {
      return oversizeHeaderBytes(lengthBytes);
    }
    return Frame.LENGTH_BYTES + lengthBytes;
  }

  /** Reads the id of an oversized frame before it is rejected, so that the error can include it. */
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
        "frame is too large: limit " + maxFrameBytes + " bytes, got length " + lengthBytes);
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
