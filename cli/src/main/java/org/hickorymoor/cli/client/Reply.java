package org.hickorymoor.cli.client;

/**
 * A whole answer of a server.
 *
 * @param status HTTP status
 * @param body body as text, maybe empty
 * @param retryAfterMs time from the header {@code Retry-After}; 0 if there is none
 */
public record Reply(int status, String body, long retryAfterMs) {

  private static final int FIRST_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * Tells whether the status reports success.
   *
   * @return true below 400
   */
  public boolean isSuccess() {
    return status < FIRST_ERROR;
  }

  /**
   * Tells whether the status puts the failure on the server's side.
   *
   * @return true from 500
   */
  public boolean isServerError() {
    return status >= FIRST_SERVER_ERROR;
  }
}
