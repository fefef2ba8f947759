package org.hickorymoor.cli.client;

import org.hickorymoor.protocol.caller.CallerJson;
import org.hickorymoor.protocol.caller.ErrorBody;
import org.hickorymoor.protocol.json.InvalidRecordException;

/** Thrown when a server answered by an error, or by something that can't be read. */
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
   * Reads the error in a reply.
   *
   * @param reply a reply that is not the answer wanted
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
   * Returns the error.
   *
   * @return the error; of type {@code unreadable-answer} if the reply held none
   */
  public ErrorBody.Detail error() {
    return error.error();
  }

  /**
   * Returns the reply that held the error.
   *
   * @return the reply
   */
  public Reply reply() {
    return reply;
  }

  private static ErrorBody unreadable(Reply reply) {
    String body = reply.body();
    String start = body.length() > MAX_ECHO_CHARS ? body.substring(0, MAX_ECHO_CHARS) : body;
    return ErrorBody.of(
        UNREADABLE,
        "expected an answer of hickorymoord to this request, got status "
            + reply.status()
            + " with: "
            + start.replaceAll("\\p{Cntrl}", " ")
            + "; check that --server names the caller's HTTP interface");
  }
}
