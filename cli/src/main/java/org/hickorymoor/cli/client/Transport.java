package org.hickorymoor.cli.client;

/** Sends a call to one server. */
@FunctionalInterface
public interface Transport {

  /**
   * Sends a call once and waits for the whole reply.
   *
   * @param server where to send it
   * @param call the call
   * @return the reply, whatever its status
   * @throws TransportException if there is no whole reply
   */
  Reply send(ServerAddress server, Call call) throws TransportException;
}
