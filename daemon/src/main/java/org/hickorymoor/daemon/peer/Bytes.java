package org.hickorymoor.daemon.peer;

import java.nio.ByteBuffer;

/** Copies bytes out of buffers. */
public final class Bytes {

  private Bytes() {}

  /**
   * Returns the content of a buffer, which stays as it is.
   *
   * @param buffer the buffer
   * @return a copy of what remains in it
   */
  public static byte[] of(ByteBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.duplicate().get(bytes);
    return bytes;
  }
}
