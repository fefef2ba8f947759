package org.hickorymoor.standins.http;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Invocable;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP server that shares its threads with the other servers of the process and passes each
 * request to one handler.
 *
 * <pre>{@code
 * HttpService service = new HttpService("log", "127.0.0.1", 0, exchange -> exchange.reply(list));
 * service.start();
 * String address = service.address();
 * }</pre>
 *
 * <p>The port of the first start is reused after a restart. Thread-safe.
 */
public final class HttpService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int CONNECTION_IDLE_MS = 600_000;
  private static final int ACCEPT_QUEUE_SIZE = 256;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_INTERNAL_ERROR = 500;

  private final String name;
  private final String bindHost;
  private final ExchangeHandler handler;
  private final Object lock = new Object();
  private int port;
  private @Nullable Server server;

  /**
   * Creates the service without starting it.
   *
   * @param name name for threads and log messages
   * @param bindHost IP address to bind
   * @param port port to bind; 0 for an ephemeral port
   * @param handler handles the requests
   */
  public HttpService(String name, String bindHost, int port, ExchangeHandler handler) {
    this.name = name;
    this.bindHost = bindHost;
    this.port = port;
    this.handler = handler;
  }

  /**
   * Binds the port and starts serving.
   *
   * @throws IOException if the port can't be bound
   */
  public void start() throws IOException {
    synchronized (lock) {
      Server starting = newServer();
      ServerConnector connector = connector(starting);
      starting.addConnector(connector);
      startServer(starting);
      port = connector.getLocalPort();
      server = starting;
    }
  }

  /** Closes the port and all connections. No-op if the service is not running. */
  public void stop() {
    synchronized (lock) {
      Server stopping = server;
      server = null;
      if (stopping != null) {
        stopServer(stopping);
      }
    }
  }

  /**
   * Returns the address at which the service is reachable.
   *
   * @return {@code ip:port}
   */
  public String address() {
    synchronized (lock) {
      return bindHost + ":" + port;
    }
  }

  private Server newServer() throws IOException {
    SharedHttpResources shared;
    try {
      shared = SharedHttpResources.started();
    } catch (Exception e) {
      throw new IOException("HTTP threads of " + name + " failed to start", e);
    }
    Server starting = new Server(shared.threads(), shared.scheduler(), shared.buffers());
    starting.setHandler(new JettyHandler());
    // The default handler is blocking, which would take a thread per request.
    starting.setDefaultHandler(null);
    return starting;
  }

  private ServerConnector connector(Server owner) {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    configuration.setHeaderCacheSize(0);
    ServerConnector connector =
        new ServerConnector(owner, 0, 1, new HttpConnectionFactory(configuration));
    connector.setHost(bindHost);
    connector.setPort(port);
    connector.setIdleTimeout(CONNECTION_IDLE_MS);
    connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    connector.setReuseAddress(true);
    return connector;
  }

  private void startServer(Server starting) throws IOException {
    try {
      starting.start();
    } catch (Exception e) {
      stopServer(starting);
      throw new IOException(
          "failed to bind " + bindHost + ":" + port + " for " + name + "; is the port in use?", e);
    }
  }

  private void stopServer(Server stopping) {
    try {
      stopping.stop();
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("http: stop of %s failed", name);
    }
  }

  private void dispatch(Exchange exchange) {
    try {
      handler.handle(exchange);
    } catch (MalformedRequestException e) {
      exchange.replyError(STATUS_BAD_REQUEST, "malformed", String.valueOf(e.getMessage()));
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("http: request to %s failed", name);
      exchange.replyError(STATUS_INTERNAL_ERROR, "internal", "failed: " + e);
    }
  }

  /** Reads the body without blocking, then dispatches the request. */
  private final class JettyHandler extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      Promise.Invocable<String> bodyPromise =
          Promise.Invocable.from(
              Invocable.InvocationType.NON_BLOCKING,
              body -> dispatch(new Exchange(request, response, callback, body)),
              callback::failed);
      Content.Source.asString(request, StandardCharsets.UTF_8, bodyPromise);
      return true;
    }
  }
}
