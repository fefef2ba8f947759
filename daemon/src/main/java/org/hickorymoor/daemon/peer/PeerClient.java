package org.hickorymoor.daemon.peer;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickorymoor.daemon.peer.PeerMetrics.Event;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to other daemons, over one long-lived connection to each.
 *
 * <pre>{@code
 * PeerClient client = new PeerClient(PeerSettings.defaults("kano", "north"), metrics);
 * client.start();
 * client.call("10.0.0.7:7400", new PeerRequest.ListWorkers(), 2_000).thenAccept(this::show);
 * }</pre>
 *
 * <p>A connection is opened by the first call, and reopened by the first call after it was closed.
 * The client never retries; callers that do can use {@link RetryBudget}. Safe for use by several
 * threads.
 */
public final class PeerClient {

  private static final long DRAIN_POLL_INTERVAL_MS = 10;

  private final PeerSettings settings;
  private final PeerMetrics metrics;
  private final Executor executor;
  private final OutboundBudget budget;
  private final EventLoop loop;
  private final ConcurrentMap<String, PeerChannel> channels = new ConcurrentHashMap<>();
  private final AtomicInteger callsInFlight = new AtomicInteger();
  private volatile boolean running;

  /**
   * Creates a client whose futures complete on its I/O thread; dependent stages must not block.
   *
   * @param settings timeouts and limits
   * @param metrics registry for the counters
   * @throws IOException if no selector can be opened
   */
  public PeerClient(PeerSettings settings, MetricRegistry metrics) throws IOException {
    this(settings, metrics, Runnable::run);
  }

  /**
   * Creates a client.
   *
   * @param settings timeouts and limits
   * @param metrics registry for the counters
   * @param executor completes the futures
   * @throws IOException if no selector can be opened
   */
  public PeerClient(PeerSettings settings, MetricRegistry metrics, Executor executor)
      throws IOException {
    this.settings = settings;
    this.metrics = new PeerMetrics(metrics, "client");
    this.executor = executor;
    this.budget = new OutboundBudget(settings.maxTotalOutboundBytes());
    this.loop = new EventLoop("peer-client", this::closeAll);
  }

  /** Starts the I/O thread. Calls fail before this. */
  public void start() {
    running = true;
    loop.start();
  }

  /**
   * Stops the client. New calls fail at once; calls still in flight when the grace period is over
   * fail then.
   */
  public void stop() {
    running = false;
    CompletableFuture<Void> drained = new CompletableFuture<>();
    if (loop.execute(() -> awaitDrained(drained))) {
      Futures.awaitOrCancel(drained, settings.stopGraceMs());
    }
    loop.stop();
  }

  /**
   * Calls a peer.
   *
   * @param address ip:port of the peer
   * @param request the request
   * @param timeoutMs timeout for the whole call
   * @return a future for the reply; it fails only with a {@link PeerException}, within the timeout
   */
  public CompletableFuture<PeerReply> call(String address, PeerRequest request, long timeoutMs) {
    return call(address, null, request, timeoutMs);
  }

  /**
   * Calls a peer whose location is known, so that traffic is counted per link from the first byte.
   *
   * @param peer address and location of the peer
   * @param request the request
   * @param timeoutMs timeout for the whole call
   * @return a future for the reply; it fails only with a {@link PeerException}, within the timeout
   */
  public CompletableFuture<PeerReply> call(PeerAddress peer, PeerRequest request, long timeoutMs) {
    return call(peer.address(), peer, request, timeoutMs);
  }

  private CompletableFuture<PeerReply> call(
      String address, @Nullable PeerAddress link, PeerRequest request, long timeoutMs) {
    if (!running) {
      return failed(PeerException.Type.UNREACHABLE, "the peer client is not running");
    }
    PeerChannel channel = reserveChannel(address);
    if (channel == null) {
      metrics.count(Event.OVERLOADED);
      return failed(
          PeerException.Type.OVERLOADED,
          settings.maxInFlight() + " calls to " + address + " in flight, limit reached");
    }
    callsInFlight.incrementAndGet();
    PendingCall call = new PendingCall(request, timeoutMs, executor, () -> onCallEnded(channel));
    if (!loop.execute(() -> submit(channel, call, link))) {
      call.fail(PeerException.Type.UNREACHABLE, "the peer client has stopped");
    }
    return call.future();
  }

  private void submit(PeerChannel channel, PendingCall call, @Nullable PeerAddress link) {
    if (running) {
      channel.submit(call, link);
    } else {
      call.fail(PeerException.Type.UNREACHABLE, "the peer client is stopping");
    }
  }

  private void onCallEnded(PeerChannel channel) {
    channel.release();
    callsInFlight.decrementAndGet();
  }

  /**
   * Reserves a slot for a call; null if too many are in flight. Looks up the channel and reserves
   * in one atomic step, so that the channel is not removed in between.
   */
  private @Nullable PeerChannel reserveChannel(String address) {
    AtomicBoolean reserved = new AtomicBoolean();
    PeerChannel channel =
        channels.compute(
            address,
            (key, existing) -> {
              PeerChannel found = existing == null ? newChannel(key) : existing;
              reserved.set(found.tryReserve());
              return found;
            });
    return reserved.get() ? channel : null;
  }

  private PeerChannel newChannel(String address) {
    return new PeerChannel(loop, settings, metrics, budget, address, () -> removeIfUnused(address));
  }

  private void removeIfUnused(String address) {
    channels.computeIfPresent(address, (key, channel) -> channel.isUnused() ? null : channel);
  }

  private void closeAll() {
    running = false;
    channels.values().forEach(channel -> channel.close("this host is stopping"));
  }

  private void awaitDrained(CompletableFuture<Void> drained) {
    if (callsInFlight.get() == 0) {
      drained.complete(null);
    } else {
      loop.schedule(DRAIN_POLL_INTERVAL_MS, () -> awaitDrained(drained));
    }
  }

  private static CompletableFuture<PeerReply> failed(PeerException.Type type, String message) {
    return CompletableFuture.failedFuture(new PeerException(type, message));
  }
}
