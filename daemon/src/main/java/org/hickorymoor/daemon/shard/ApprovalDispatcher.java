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
 * Spreads requests for approvals over the hosts, since the service works on one call of a host at a
 * time.
 *
 * <p>The most urgent steps go first. Slow decisions leave some hosts free for quick ones. Belongs
 * to the thread of the loop.
 */
final class ApprovalDispatcher {

  /** Asks through a given host. */
  @FunctionalInterface
  interface ApprovalClient {
    CompletableFuture<List<Approval>> ask(
        String hostAddress, String step, List<String> workerIds, long withinMs);
  }

  /**
   * A request for approvals.
   *
   * @param step name of the step
   * @param workerIds workers to decide about
   * @param urgency how soon the step has to start; the most urgent goes first
   * @param expectedMs time that the decision should take
   * @param handler takes the approvals, or null if none could be had
   */
  record Request(
      String step,
      List<String> workerIds,
      Urgency urgency,
      long expectedMs,
      Consumer<@Nullable List<Approval>> handler) {}

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A decision above this time counts as slow. */
  private static final long SLOW_MS = 200;

  /** One host of this many stays free for quick decisions. */
  private static final int FREE_SHARE = 3;

  /** Covers two slow links and a busy host on top of the decision itself. */
  private static final long MARGIN_MS = 800;

  /** How long a host that did not answer is left alone, doubled with each further failure. */
  private static final long HOST_PAUSE_MS = 2_000;

  private static final int MAX_DOUBLINGS = 3;

  /**
   * Quick decisions under way through one host at a time. They are made in turn, so more than one
   * hides the way to the host and back, up to 100 ms against some 25 ms for a decision.
   */
  private static final int QUICK_AT_ONCE = 4;

  private static final Comparator<Request> ORDER = Comparator.comparing(Request::urgency);

  /** What is under way through one host. */
  private static final class HostLoad {
    private int quick;
    private boolean slow;
    private long expectedMs;
    private int failuresInRow;
    private @Nullable Long pausedUntilNs;

    void add(Request ask, int sign) {
      expectedMs += sign * ask.expectedMs();
      if (isSlow(ask)) {
        slow = sign > 0;
      } else {
        quick += sign;
      }
    }

    boolean isPaused(long nowNs) {
      Long until = pausedUntilNs;
      return until != null && nowNs - until < 0;
    }

    boolean takes(Request ask, long nowNs) {
      return !isPaused(nowNs) && !slow && (isSlow(ask) || quick < QUICK_AT_ONCE);
    }
  }

  private final ShardEventLoop loop;
  private final ShardMetrics metrics;
  private final ApprovalClient caller;
  private final Supplier<List<String>> hosts;
  private final List<Request> queue = new ArrayList<>();
  private final Map<String, HostLoad> loads = new HashMap<>();
  private int slowInFlight;
  private boolean closed;

  ApprovalDispatcher(ShardEventLoop loop, ApprovalClient caller, Supplier<List<String>> hosts, ShardMetrics metrics) {
    this.loop = loop;
    this.metrics = metrics;
    this.caller = caller;
    this.hosts = hosts;
  }

  void submit(Request ask) {
    queue.add(ask);
    queue.sort(ORDER);
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
    List<String> known = hosts.get();
    loads.keySet().retainAll(known);
    int total = known.size();
    int maxSlow = Math.max(1, total - Math.max(1, total / FREE_SHARE));
    // Once there is no host for an ask there is none for the next of its kind either.
    boolean quickWaits = false;
    boolean slowWaits = false;
    var asks = queue.iterator();
    while (asks.hasNext() && !(quickWaits && slowWaits)) {
      Request ask = asks.next();
      boolean slow = isSlow(ask);
      slowWaits |= slowInFlight >= maxSlow;
      if (slow ? slowWaits : quickWaits) {
        continue;
      }
      String host = leastLoaded(known, ask);
      if (host != null) {
        asks.remove();
        send(host, ask);
      } else if (slow) {
        slowWaits = true;
      } else {
        quickWaits = true;
      }
    }
  }

  private static boolean isSlow(Request ask) {
    return ask.expectedMs() > SLOW_MS;
  }

  /** Returns the host that would decide first, of those that answered last time if any did. */
  private @Nullable String leastLoaded(List<String> known, Request ask) {
    long nowNs = loop.nowNs();
    return known.stream()
        .filter(host -> load(host).takes(ask, nowNs))
        .min(
            Comparator.<String>comparingInt(host -> load(host).failuresInRow)
                .thenComparingLong(host -> load(host).expectedMs))
        .orElse(null);
  }

  private HostLoad load(String host) {
    return loads.computeIfAbsent(host, unused -> new HostLoad());
  }

  private void send(String host, Request ask) {
    HostLoad load = load(host);
    load.add(ask, 1);
    slowInFlight += isSlow(ask) ? 1 : 0;
    long withinMs = load.expectedMs * 2 + MARGIN_MS;
    long sentNs = loop.nowNs();
    loop.then(
        caller.ask(host, ask.step(), ask.workerIds(), withinMs),
        (approvals, failure) -> onAnswer(host, load, ask, sentNs, approvals, failure));
  }

  private void onAnswer(
      String host,
      HostLoad load,
      Request ask,
      long sentNs,
      @Nullable List<Approval> approvals,
      @Nullable PlatformException failure) {
    if (closed) {
      return;
    }
    load.add(ask, -1);
    slowInFlight -= isSlow(ask) ? 1 : 0;
    metrics.advised(approvals != null, loop.nowNs() - sentNs);
    if (approvals == null) {
      logger.atInfo().log(
          "advice: No answer for %s through %s: %s",
          ask.step(), host, failure == null ? "no reason" : failure.getMessage());
      pause(load);
    } else {
      load.failuresInRow = 0;
      load.pausedUntilNs = null;
    }
    ask.handler().accept(approvals);
    dispatch();
  }

  /** Leaves a host alone for a while; calls that fail together count once. */
  private void pause(HostLoad load) {
    if (load.isPaused(loop.nowNs())) {
      return;
    }
    long pauseMs = HOST_PAUSE_MS << Math.min(load.failuresInRow, MAX_DOUBLINGS);
    load.failuresInRow++;
    load.pausedUntilNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(pauseMs);
    loop.schedule(pauseMs + 1, this::dispatch);
  }
}
