package org.hickorymoor.cli.client;

/**
 * A complete HTTP response.
 *
 * @param status HTTP status
 * @param body body as text, possibly empty
 * @param retryAfterMs value of the {@code Retry-After} header, or 0 if absent
 */
public record Reply(int status, String body, long retryAfterMs) {

  private static final int FIRST_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * Returns whether the status indicates success.
   *
   * @return true below 400
   */
  public boolean isSuccess() {
    return status < FIRST_ERROR;
  }

  /**
   * Returns whether the status indicates a server error.
   *
   * @return true from 500
   */
  public boolean isServerError() {
    return status >= FIRST_SERVER_ERROR;
  }
}
