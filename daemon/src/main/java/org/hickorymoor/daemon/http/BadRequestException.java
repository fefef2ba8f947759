package org.hickorymoor.daemon.http;

import org.jspecify.annotations.Nullable;

/** Thrown for an invalid query parameter; answered with HTTP status 400. */
final class BadRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  BadRequestException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }
}
