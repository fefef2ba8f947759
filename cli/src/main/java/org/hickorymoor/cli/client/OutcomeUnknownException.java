package org.hickorymoor.cli.client;

/** Thrown when a call that may have had an effect got no answer. */
public final class OutcomeUnknownException extends ClientException {

  private static final long serialVersionUID = 1L;

  OutcomeUnknownException(String lastFailure) {
    super("the call was sent and got no answer, so it may have had an effect: " + lastFailure);
  }
}
