package org.hickorymoor.daemon.peer;

import java.nio.ByteBuffer;

/** Copies bytes out of buffers. */
public final class ByteBuffers {

  private ByteBuffers() {}

  /**
   * Returns the content of a buffer, which stays as it is.
   *
   * @param buffer the buffer
   * @return a copy of what remains in it
   */
  public static byte[] copyRemaining(ByteBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.duplicate().get(bytes);
    return bytes;
  }
}
