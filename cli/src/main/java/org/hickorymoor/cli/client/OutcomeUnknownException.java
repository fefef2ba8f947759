package org.hickorymoor.cli.client;

/** Thrown when a call may have had an effect but its response was not received. */
public final class OutcomeUnknownException extends ClientException {

  private static final long serialVersionUID = 1L;

  OutcomeUnknownException(String lastFailure) {
    super("no response to the call, which may have taken effect; last failure: " + lastFailure);
  }
}
