package org.hickorymoor.standins.http;

/** Handles requests without blocking; may reply later. Called from several threads. */
@FunctionalInterface
public interface ExchangeHandler {

  /**
   * Handles one request.
   *
   * @param exchange the request and its pending reply
   * @throws MalformedRequestException if the request cannot be parsed; it is answered with status
   *     400
   */
  void handle(Exchange exchange) throws MalformedRequestException;
}
