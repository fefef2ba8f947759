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
 * An HTTP server that shares its threads with the others of the process and hands each call to one
 * handler.
 *
 * <pre>{@code
 * HttpService service = new HttpService("log", "127.0.0.1", 0, exchange -> exchange.reply(list));
 * service.start();
 * String address = service.address();
 * }</pre>
 *
 * <p>The port of the first start is kept over a stop and a later start. Safe for use by several
 * threads.
 */
public final class HttpService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int CONNECTION_IDLE_MS = 600_000;
  private static final int ACCEPT_QUEUE_SIZE = 256;
  private static final int STATUS_MALFORMED = 400;
  private static final int STATUS_FAILED = 500;

  private final String name;
  private final String bindHost;
  private final ExchangeHandler handler;
  private final Object lock = new Object();
  private int port;
  private @Nullable Server server;

  /**
   * Makes the service without starting it.
   *
   * @param name name for threads and logs
   * @param bindHost IP number to bind
   * @param port port to bind; 0 for any free one
   * @param handler takes the calls
   */
  public HttpService(String name, String bindHost, int port, ExchangeHandler handler) {
    this.name = name;
    this.bindHost = bindHost;
    this.port = port;
    this.handler = handler;
  }

  /**
   * Binds the port and serves.
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

  /** Closes the port and every connection. Does nothing if the service does not run. */
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
   * Returns where the service is reached.
   *
   * @return {@code ip:port}
   */
  public String address() {
    synchronized (lock) {
      return bindHost + ":" + port;
    }
  }

  private Server newServer() throws IOException {
    SharedResources shared;
    try {
      shared = SharedResources.started();
    } catch (Exception e) {
      throw new IOException("expected the threads of " + name + " to start", e);
    }
    Server starting = new Server(shared.threads(), shared.scheduler(), shared.buffers());
    starting.setHandler(new ToExchange());
    // The default handler blocks, for which each call would take a thread of its own.
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
          "expected to bind " + bindHost + ":" + port + " for " + name + "; is the port taken?", e);
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
    } catch (MalformedCallException e) {
      exchange.refuse(STATUS_MALFORMED, "malformed", String.valueOf(e.getMessage()));
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("http: call to %s failed", name);
      exchange.refuse(STATUS_FAILED, "internal", "failed: " + e);
    }
  }

  /** Reads the body without blocking, then hands the call on. */
  private final class ToExchange extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      Promise.Invocable<String> whole =
          Promise.Invocable.from(
              Invocable.InvocationType.NON_BLOCKING,
              body -> dispatch(new Exchange(request, response, callback, body)),
              callback::failed);
      Content.Source.asString(request, StandardCharsets.UTF_8, whole);
      return true;
    }
  }
}
