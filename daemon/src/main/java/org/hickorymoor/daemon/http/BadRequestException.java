package org.hickorymoor.daemon.http;

import org.jspecify.annotations.Nullable;

/** Tells that a path, a query parameter or a header has a mistake. */
final class BadRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  BadRequestException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
