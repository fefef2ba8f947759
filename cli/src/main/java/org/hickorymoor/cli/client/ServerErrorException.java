package org.hickorymoor.cli.client;

import org.hickorymoor.protocol.caller.CallerJson;
import org.hickorymoor.protocol.caller.ErrorBody;
import org.hickorymoor.protocol.json.InvalidRecordException;

/** Thrown when a server responded with an error or with an unreadable response. */
public final class ServerErrorException extends Exception {

  private static final long serialVersionUID = 1L;
  private static final String UNREADABLE = "unreadable-answer";
  private static final int MAX_ECHO_CHARS = 200;

  private final transient ErrorBody error;
  private final transient Reply reply;

  private ServerErrorException(ErrorBody error, Reply reply) {
    super(error.error().message());
    this.error = error;
    this.reply = reply;
  }

  /**
   * Creates an exception from a response.
   *
   * @param reply a response other than the expected one
   * @return the exception to throw
   */
  public static ServerErrorException of(Reply reply) {
    try {
      return new ServerErrorException(CallerJson.parseError(reply.body()), reply);
    } catch (InvalidRecordException e) {
      return new ServerErrorException(unreadable(reply), reply);
    }
  }

  /**
   * Returns the error reported by the server.
   *
   * @return the error, of type {@code unreadable-answer} if the response body is not an error
   */
  public ErrorBody.Detail error() {
    return error.error();
  }

  /**
   * Returns the response with the error.
   *
   * @return the response
   */
  public Reply reply() {
    return reply;
  }

  private static ErrorBody unreadable(Reply reply) {
    String body = reply.body();
    String start = body.length() > MAX_ECHO_CHARS ? body.substring(0, MAX_ECHO_CHARS) : body;
    return ErrorBody.of(
        UNREADABLE,
        "expected a response of hickorymoord, got status "
            + reply.status()
            + " with: "
            + start.replaceAll("\\p{Cntrl}", " ")
            + "; check that --server is the address of the client HTTP API");
  }
}
