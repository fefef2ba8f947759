package org.hickorymoor.daemon.http;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.hickorymoor.protocol.caller.ErrorTypes;
import org.hickorymoor.protocol.config.ConfigCodec;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server for callers and operators.
 *
 * <p>For a graceful stop, call {@link #stopAccepting}, {@link #awaitCallsInFlight} and {@link
 * #stop}, in this order. Thread-safe.
 */
public final class HttpApiServer {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 2;
  private static final int THREAD_IDLE_TIMEOUT_MS = 30_000;
  private static final int CONNECTION_IDLE_TIMEOUT_MS = 120_000;
  private static final long IN_FLIGHT_POLL_MS = 20;

  /** Handles the requests for some of the paths. */
  @FunctionalInterface
  interface Resource {

    /**
     * Handles a call if it is for this resource; the response may be sent later.
     *
     * @param call request and response
     * @return false if the call is not for this resource and has not been answered
     * @throws BadRequestException if a query parameter is invalid
     */
    boolean handle(HttpCall call) throws BadRequestException;
  }

  private final String bindHost;
  private final int port;
  private final List<Resource> resources;
  private final AtomicInteger inFlight = new AtomicInteger();
  private @Nullable Server server;
  private @Nullable GracefulConnector connector;

  HttpApiServer(String bindHost, int port, List<Resource> resources) {
    this.bindHost = bindHost;
    this.port = port;
    this.resources = List.copyOf(resources);
  }

  /**
   * Binds the port and starts to accept connections.
   *
   * @throws IOException if the port can't be bound
   */
  public void start() throws IOException {
    QueuedThreadPool threads =
        new QueuedThreadPool(MAX_THREADS, MIN_THREADS, THREAD_IDLE_TIMEOUT_MS);
    threads.setName("http");
    threads.setReservedThreads(0);
    Server starting = new Server(threads);
    GracefulConnector listening =
        new GracefulConnector(starting, bindHost, port, CONNECTION_IDLE_TIMEOUT_MS);
    starting.addConnector(listening);
    starting.setHandler(new ResourceDispatcher());
    try {
      starting.start();
    } catch (Exception e) {
      throw new IOException(
          "could not bind " + bindHost + ":" + port + " for HTTP; is the port in use?", e);
    }
    server = starting;
    connector = listening;
  }

  /**
   * Returns the address of the server.
   *
   * @return {@code ip:port}; the bound port once started
   */
  public String address() {
    return bindHost + ":" + (connector == null ? port : connector.getLocalPort());
  }

  /**
   * Waits until no call is in flight and none can follow, or until the timeout expires.
   *
   * @param timeoutMs maximum time to wait
   */
  public void awaitCallsInFlight(long timeoutMs) {
    long endNs = System.nanoTime() + timeoutMs * 1_000_000;
    while (!isDrained() && System.nanoTime() < endNs) {
      try {
        Thread.sleep(IN_FLIGHT_POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /**
   * Closes the port to new connections, and each open connection once it is idle or after its next
   * response.
   */
  public void stopAccepting() {
    if (connector != null) {
      connector.drain();
    }
  }

  private boolean isDrained() {
    return inFlight.get() == 0 && (connector == null || connector.isDrained());
  }

  /** Stops the server and closes all connections. */
  public void stop() {
    Server running = server;
    server = null;
    if (running != null) {
      try {
        running.stop();
      } catch (Exception e) {
        logger.atWarning().withCause(e).log("http: The server did not stop cleanly.");
      }
    }
  }

  private void dispatch(HttpCall call) {
    try {
      for (Resource resource : resources) {
        if (resource.handle(call)) {
          return;
        }
      }
      call.replyUnknownPath();
    } catch (BadRequestException e) {
      String message = String.valueOf(e.getMessage());
      call.replyError(HttpCall.BAD_REQUEST, ErrorTypes.INVALID_REQUEST, message);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("http: Unexpected exception while handling a call.");
      call.replyError(
          HttpCall.INTERNAL_SERVER_ERROR, ErrorTypes.INTERNAL, "unexpected exception: " + e);
    }
  }

  /**
   * Reads the body and dispatches the call to the resources. Rejects bodies larger than {@link
   * ConfigCodec#MAX_BYTES}.
   */
  private final class ResourceDispatcher extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      inFlight.incrementAndGet();
      Callback counted = Callback.from(callback, inFlight::decrementAndGet);
      var unused =
          RequestBodies.readText(request, ConfigCodec.MAX_BYTES)
              .whenComplete(
                  (body, failure) -> {
                    if (failure == null) {
                      dispatch(new HttpCall(request, response, counted, body));
                    } else {
                      rejectBody(new HttpCall(request, response, counted, ""), counted, failure);
                    }
                  });
      return true;
    }

    private static void rejectBody(HttpCall call, Callback callback, Throwable failure) {
      BodyTooLargeException tooLarge = RequestBodies.tooLarge(failure);
      if (tooLarge == null) {
        callback.failed(failure);
      } else {
        call.replyError(
            HttpCall.CONTENT_TOO_LARGE,
            ErrorTypes.TOO_LARGE,
            String.valueOf(tooLarge.getMessage()));
      }
    }
  }
}
