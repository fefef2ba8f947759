package org.hickorymoor.cli.client;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Responds to calls with scripted steps, repeating the last one, and records all calls. */
final class FakeTransport implements Transport {

  final List<String> calls = new ArrayList<>();
  private final Deque<Transport> steps = new ArrayDeque<>();

  FakeTransport then(Transport step) {
    steps.add(step);
    return this;
  }

  FakeTransport thenReply(int status, String body) {
    return then((server, call) -> new Reply(status, body, 0));
  }

  FakeTransport thenNoConnection() {
    return then(
        (server, call) -> {
          throw new TransportException("refused", false);
        });
  }

  FakeTransport thenConnectionLost() {
    return then(
        (server, call) -> {
          throw new TransportException("connection lost", true);
        });
  }

  @Override
  public Reply send(ServerAddress server, Call call) throws TransportException {
    calls.add(server.host() + " " + call.method() + " " + call.path());
    Transport step = steps.size() > 1 ? steps.remove() : steps.element();
    return step.send(server, call);
  }
}
