package org.hickorymoor.standins.http;

/** Answers calls, at once or later, without blocking its thread. Called by several threads. */
@FunctionalInterface
public interface ExchangeHandler {

  /**
   * Takes one call.
   *
   * @param exchange the call and the way to answer it
   * @throws MalformedCallException if the call could not be read; it is answered with status 400
   */
  void handle(Exchange exchange) throws MalformedCallException;
}
