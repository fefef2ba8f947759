package org.hickorymoor.daemon.shard;

import org.jspecify.annotations.Nullable;

/** Tells that a record of the store can't be read. */
final class MalformedRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedRecordException(String what, @Nullable Throwable cause) {
    super("unreadable " + what, cause);
  }
}
