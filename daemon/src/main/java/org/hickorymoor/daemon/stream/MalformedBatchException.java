package org.hickorymoor.daemon.stream;

import org.jspecify.annotations.Nullable;

/** Thrown when a record of a stream is not a valid batch. */
public final class MalformedBatchException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Maximum number of characters of the record in the message. */
  private static final int MAX_EXCERPT_CHARS = 80;

  MalformedBatchException(String data, @Nullable Throwable cause) {
    super(
        "malformed batch: expected {\"b\":\"incarnation:sequence\",\"e\":[...]}, got "
            + data.substring(0, Math.min(MAX_EXCERPT_CHARS, data.length())),
        cause);
  }
}
