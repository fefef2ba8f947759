package org.hickorymoor.daemon.stream;

import org.jspecify.annotations.Nullable;

/** Tells that a record of a stream is no batch of entries. */
public final class MalformedBatchException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Longest part of the record shown in the message, in characters. */
  private static final int SHOWN_CHARS = 80;

  MalformedBatchException(String data, @Nullable Throwable cause) {
    super(
        "expected {\"b\":\"incarnation:sequence\",\"e\":[...]}, got "
            + data.substring(0, Math.min(SHOWN_CHARS, data.length())),
        cause);
  }
}
