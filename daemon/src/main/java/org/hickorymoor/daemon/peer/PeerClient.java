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
 * Calls other daemons, over one long-lived connection to each.
 *
 * <pre>{@code
 * PeerClient client = new PeerClient(PeerSettings.defaults("kano", "north"), metrics);
 * client.start();
 * client.call("10.0.0.7:7400", new PeerRequest.ListWorkers(), 2_000).thenAccept(this::show);
 * }</pre>
 *
 * <p>A connection is opened by the first call and again by the first call after it was closed.
 * Nothing is sent twice: retries are the caller's, see {@link RetryBudget}. Safe for use by several
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
   * Makes a client whose futures complete on its I/O thread, so that what depends on them must not
   * block.
   *
   * @param settings times and limits
   * @param metrics where counters are registered
   * @throws IOException if the system gives no selector
   */
  public PeerClient(PeerSettings settings, MetricRegistry metrics) throws IOException {
    this(settings, metrics, Runnable::run);
  }

  /**
   * Makes a client.
   *
   * @param settings times and limits
   * @param metrics where counters are registered
   * @param executor completes the futures
   * @throws IOException if the system gives no selector
   */
  public PeerClient(PeerSettings settings, MetricRegistry metrics, Executor executor)
      throws IOException {
    this.settings = settings;
    this.metrics = new PeerMetrics(metrics, "client");
    this.executor = executor;
    this.budget = new OutboundBudget(settings.maxTotalOutboundBytes());
    this.loop = new EventLoop("peer-client", this::closeAll);
  }

  /** Starts the client. */
  public void start() {
    running = true;
    loop.start();
  }

  /**
   * Stops the client: new calls fail at once, calls in flight are given the grace time, then fail.
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
   * @param request what to ask
   * @param timeoutMs time for the whole call
   * @return the reply; the future fails with a {@link PeerException} and with nothing else, within
   *     the timeout
   */
  public CompletableFuture<PeerReply> call(String address, PeerRequest request, long timeoutMs) {
    return call(address, null, request, timeoutMs);
  }

  /**
   * Calls a peer whose place is known, so that traffic is counted per link from the first byte.
   *
   * @param peer address and place of the peer
   * @param request what to ask
   * @param timeoutMs time for the whole call
   * @return the reply; the future fails with a {@link PeerException} and with nothing else, within
   *     the timeout
   */
  public CompletableFuture<PeerReply> call(PeerAddress peer, PeerRequest request, long timeoutMs) {
    return call(peer.address(), peer, request, timeoutMs);
  }

  private CompletableFuture<PeerReply> call(
      String address, @Nullable PeerAddress link, PeerRequest request, long timeoutMs) {
    if (!running) {
      return failed(PeerException.Type.UNREACHABLE, "the client of this host does not run");
    }
    PeerChannel channel = reserveChannel(address);
    if (channel == null) {
      metrics.count(Event.OVERLOADED);
      return failed(
          PeerException.Type.OVERLOADED,
          settings.maxInFlight() + " calls to " + address + " are in flight, which is the limit");
    }
    callsInFlight.incrementAndGet();
    PendingCall call = new PendingCall(request, timeoutMs, executor, () -> onCallEnded(channel));
    if (!loop.execute(() -> submit(channel, call, link))) {
      call.fail(PeerException.Type.UNREACHABLE, "the client of this host has stopped");
    }
    return call.future();
  }

  private void submit(PeerChannel channel, PendingCall call, @Nullable PeerAddress link) {
    if (running) {
      channel.submit(call, link);
    } else {
      call.fail(PeerException.Type.UNREACHABLE, "the client of this host is stopping");
    }
  }

  private void onCallEnded(PeerChannel channel) {
    channel.release();
    callsInFlight.decrementAndGet();
  }

  /** Reserves room for a call; null if too many are in flight. One step, so none is retired. */
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
    channels.values().forEach(channel -> channel.close("this host stops"));
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
