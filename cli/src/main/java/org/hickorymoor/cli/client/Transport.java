package org.hickorymoor.cli.client;

/** Sends calls to a server. */
@FunctionalInterface
public interface Transport {

  /**
   * Sends a call once and waits for the complete response.
   *
   * @param server the server to send it to
   * @param call the call
   * @return the response, of any status
   * @throws TransportException if no complete response is received
   */
  Reply send(ServerAddress server, Call call) throws TransportException;
}
