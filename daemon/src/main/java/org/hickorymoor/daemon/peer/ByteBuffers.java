package org.hickorymoor.daemon.peer;

import java.nio.ByteBuffer;

/** Helpers for byte buffers. */
public final class ByteBuffers {

  private ByteBuffers() {}

  /**
   * Copies the remaining bytes of a buffer without changing its position.
   *
   * @param buffer the buffer
   * @return the remaining bytes
   */
  public static byte[] copyRemaining(ByteBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.duplicate().get(bytes);
    return bytes;
  }
}
