package org.hickorymoor.daemon.shard;

import org.jspecify.annotations.Nullable;

/** Thrown when a stored record can't be decoded. */
final class MalformedRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedRecordException(String what, @Nullable Throwable cause) {
    super("malformed record: " + what, cause);
  }
}
