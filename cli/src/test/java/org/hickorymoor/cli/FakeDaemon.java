package org.hickorymoor.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.hickorymoor.cli.client.Reply;

/**
 * An HTTP server on a free port that computes responses with a function and records all requests.
 */
final class FakeDaemon implements AutoCloseable {

  /** A received request. */
  record Received(String method, String pathQuery, String actor, String body) {}

  final List<Received> received = new CopyOnWriteArrayList<>();
  private final Server server = new Server();
  private final ServerConnector connector = new ServerConnector(server);

  FakeDaemon(Function<Received, Reply> responder) throws Exception {
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback)
              throws Exception {
            Reply reply = responder.apply(receive(request));
            response.setStatus(reply.status());
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            Content.Sink.write(response, true, reply.body(), callback);
            return true;
          }
        });
    server.start();
  }

  String address() {
    return "127.0.0.1:" + connector.getLocalPort();
  }

  private Received receive(Request request) throws Exception {
    Received record =
        new Received(
            request.getMethod(),
            request.getHttpURI().getPathQuery(),
            request.getHeaders().get("Hickorymoor-Actor"),
            Content.Source.asString(request, UTF_8));
    received.add(record);
    return record;
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }
}
