package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.ApprovalPort.Approval;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.domain.workload.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * Distributes approval requests over the hosts, since the service processes one call of a host at a
 * time.
 *
 * <p>The most urgent steps go first. Slow decisions leave some hosts free for quick ones. Not
 * thread-safe; confined to the event loop thread.
 */
final class ApprovalDispatcher {

  /** Sends approval requests through a given host. */
  @FunctionalInterface
  interface ApprovalClient {
    CompletableFuture<List<Approval>> request(
        String hostAddress, String step, List<String> workerIds, long withinMs);
  }

  /**
   * A request for approvals.
   *
   * @param step name of the step
   * @param workerIds workers to decide on
   * @param urgency how soon the step has to start; the most urgent request goes first
   * @param expectedMs expected time of the decision
   * @param handler receives the approvals, or null if the call failed
   */
  record Request(
      String step,
      List<String> workerIds,
      Urgency urgency,
      long expectedMs,
      Consumer<@Nullable List<Approval>> handler) {}

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A decision that is expected to take longer than this counts as slow. */
  private static final long SLOW_DECISION_MS = 200;

  /** One in this many hosts is kept free for quick decisions. */
  private static final int QUICK_HOST_DIVISOR = 3;

  /** Covers two slow network links and a busy host, on top of the decision itself. */
  private static final long CALL_MARGIN_MS = 800;

  /** How long a host that did not answer gets no requests; doubled with each further failure. */
  private static final long HOST_BACKOFF_MS = 2_000;

  private static final int MAX_BACKOFF_DOUBLINGS = 3;

  /**
   * Maximum number of quick decisions in flight through one host. The service makes them one after
   * the other, so more than one hides the round trip to the host, up to 100 ms against about 25 ms
   * for a decision.
   */
  private static final int MAX_QUICK_CALLS_PER_HOST = 4;

  private static final Comparator<Request> BY_URGENCY = Comparator.comparing(Request::urgency);

  /** The calls in flight through one host. */
  private static final class HostLoad {
    private int quickCalls;
    private boolean slow;
    private long expectedMs;
    private int consecutiveFailures;
    private @Nullable Long backoffUntilNs;

    void add(Request request, int sign) {
      expectedMs += sign * request.expectedMs();
      if (isSlow(request)) {
        slow = sign > 0;
      } else {
        quickCalls += sign;
      }
    }

    boolean isBackingOff(long nowNs) {
      Long until = backoffUntilNs;
      return until != null && nowNs - until < 0;
    }

    boolean accepts(Request request, long nowNs) {
      return !isBackingOff(nowNs)
          && !slow
          && (isSlow(request) || quickCalls < MAX_QUICK_CALLS_PER_HOST);
    }
  }

  private final ShardEventLoop loop;
  private final ShardMetrics metrics;
  private final ApprovalClient client;
  private final Supplier<List<String>> hosts;
  private final List<Request> queue = new ArrayList<>();
  private final Map<String, HostLoad> loads = new HashMap<>();
  private int slowCallsInFlight;
  private boolean closed;

  ApprovalDispatcher(
      ShardEventLoop loop,
      ApprovalClient client,
      Supplier<List<String>> hosts,
      ShardMetrics metrics) {
    this.loop = loop;
    this.metrics = metrics;
    this.client = client;
    this.hosts = hosts;
  }

  void submit(Request request) {
    queue.add(request);
    queue.sort(BY_URGENCY);
    dispatch();
  }

  void close() {
    closed = true;
    queue.clear();
  }

  private void dispatch() {
    if (closed) {
      return;
    }
    List<String> knownHosts = hosts.get();
    loads.keySet().retainAll(knownHosts);
    int total = knownHosts.size();
    int maxSlow = Math.max(1, total - Math.max(1, total / QUICK_HOST_DIVISOR));
    // If no host accepts a request, none accepts the next one of the same kind either.
    boolean quickBlocked = false;
    boolean slowBlocked = false;
    var requests = queue.iterator();
    while (requests.hasNext() && !(quickBlocked && slowBlocked)) {
      Request request = requests.next();
      boolean slow = isSlow(request);
      slowBlocked |= slowCallsInFlight >= maxSlow;
      if (slow ? slowBlocked : quickBlocked) {
        continue;
      }
      String host = leastLoadedHost(knownHosts, request);
      if (host != null) {
        requests.remove();
        send(host, request);
      } else if (slow) {
        slowBlocked = true;
      } else {
        quickBlocked = true;
      }
    }
  }

  private static boolean isSlow(Request request) {
    return request.expectedMs() > SLOW_DECISION_MS;
  }

  /**
   * Returns the host that is expected to decide first among those with the fewest consecutive
   * failures, or null if no host accepts the request.
   */
  private @Nullable String leastLoadedHost(List<String> knownHosts, Request request) {
    long nowNs = loop.nowNs();
    return knownHosts.stream()
        .filter(host -> load(host).accepts(request, nowNs))
        .min(
            Comparator.<String>comparingInt(host -> load(host).consecutiveFailures)
                .thenComparingLong(host -> load(host).expectedMs))
        .orElse(null);
  }

  private HostLoad load(String host) {
    return loads.computeIfAbsent(host, unused -> new HostLoad());
  }

  private void send(String host, Request request) {
    HostLoad load = load(host);
    load.add(request, 1);
    slowCallsInFlight += isSlow(request) ? 1 : 0;
    long withinMs = load.expectedMs * 2 + CALL_MARGIN_MS;
    long sentNs = loop.nowNs();
    loop.then(
        client.request(host, request.step(), request.workerIds(), withinMs),
        (approvals, failure) -> onResponse(host, load, request, sentNs, approvals, failure));
  }

  private void onResponse(
      String host,
      HostLoad load,
      Request request,
      long sentNs,
      @Nullable List<Approval> approvals,
      @Nullable PlatformException failure) {
    if (closed) {
      return;
    }
    load.add(request, -1);
    slowCallsInFlight -= isSlow(request) ? 1 : 0;
    metrics.approvalCallCompleted(approvals != null, loop.nowNs() - sentNs);
    if (approvals == null) {
      logger.atInfo().log(
          "advice: Approval request for %s through host %s failed: %s",
          request.step(), host, failure == null ? "no reason" : failure.getMessage());
      backOff(load);
    } else {
      load.consecutiveFailures = 0;
      load.backoffUntilNs = null;
    }
    request.handler().accept(approvals);
    dispatch();
  }

  /** Sends nothing through a host for a while; calls that fail together count as one failure. */
  private void backOff(HostLoad load) {
    if (load.isBackingOff(loop.nowNs())) {
      return;
    }
    long backoffMs = HOST_BACKOFF_MS << Math.min(load.consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
    load.consecutiveFailures++;
    load.backoffUntilNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(backoffMs);
    loop.schedule(backoffMs + 1, this::dispatch);
  }
}
