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
import org.hickorymoor.daemon.port.AdvicePort.Approval;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Spreads requests for approvals over the hosts, since the service works on one call of a host at a
 * time.
 *
 * <p>Requests with the earliest deadline of the highest priority go first. Slow decisions leave
 * some hosts free for quick ones. Belongs to the thread of the loop.
 */
final class AdviceDesk {

  /** Asks through a given host. */
  @FunctionalInterface
  interface Caller {
    CompletableFuture<List<Approval>> ask(
        String hostAddress, String step, List<String> workerIds, long withinMs);
  }

  /**
   * A request for approvals.
   *
   * @param step name of the step
   * @param workerIds workers to decide about
   * @param priority 0 goes first
   * @param dueMs Unix time by which the job should be complete
   * @param expectedMs time that the decision should take
   * @param handler takes the approvals, or null if none could be had
   */
  record Ask(
      String step,
      List<String> workerIds,
      int priority,
      long dueMs,
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

  private static final Comparator<Ask> ORDER =
      Comparator.comparingInt(Ask::priority).thenComparingLong(Ask::dueMs);

  private final ShardLoop loop;
  private final ShardMetrics metrics;
  private final Caller caller;
  private final Supplier<List<String>> hosts;
  private final List<Ask> queue = new ArrayList<>();
  private final Map<String, Long> busyUntilNs = new HashMap<>();
  private final Map<String, Integer> failuresInRow = new HashMap<>();
  private int slowInFlight;
  private boolean closed;

  AdviceDesk(ShardLoop loop, Caller caller, Supplier<List<String>> hosts, ShardMetrics metrics) {
    this.loop = loop;
    this.metrics = metrics;
    this.caller = caller;
    this.hosts = hosts;
  }

  void submit(Ask ask) {
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
    List<String> free = freeHosts();
    int total = hosts.get().size();
    int maxSlow = Math.max(1, total - Math.max(1, total / FREE_SHARE));
    var asks = queue.iterator();
    while (asks.hasNext() && !free.isEmpty()) {
      Ask ask = asks.next();
      if (isSlow(ask) && slowInFlight >= maxSlow) {
        continue;
      }
      asks.remove();
      send(free.remove(0), ask);
    }
  }

  private static boolean isSlow(Ask ask) {
    return ask.expectedMs() > SLOW_MS;
  }

  /** Returns the hosts without a call, those that answered last time first. */
  private List<String> freeHosts() {
    long nowNs = loop.nowNs();
    List<String> free = new ArrayList<>();
    for (String host : hosts.get()) {
      Long until = busyUntilNs.get(host);
      if (until == null || nowNs - until >= 0) {
        free.add(host);
      }
    }
    free.sort(Comparator.comparingInt(host -> failuresInRow.getOrDefault(host, 0)));
    return free;
  }

  private void send(String host, Ask ask) {
    long withinMs = ask.expectedMs() * 2 + MARGIN_MS;
    long sentNs = loop.nowNs();
    slowInFlight += isSlow(ask) ? 1 : 0;
    busyUntilNs.put(host, sentNs + TimeUnit.MILLISECONDS.toNanos(withinMs * 2));
    loop.then(
        caller.ask(host, ask.step(), ask.workerIds(), withinMs),
        (approvals, failure) -> onAnswer(host, ask, sentNs, approvals, failure));
  }

  private void onAnswer(
      String host,
      Ask ask,
      long sentNs,
      @Nullable List<Approval> approvals,
      @Nullable PlatformException failure) {
    if (closed) {
      return;
    }
    slowInFlight -= isSlow(ask) ? 1 : 0;
    metrics.advised(approvals != null, loop.nowNs() - sentNs);
    if (approvals == null) {
      logger.atInfo().log(
          "advice: No answer for %s through %s: %s",
          ask.step(), host, failure == null ? "no reason" : failure.getMessage());
      int failures = failuresInRow.merge(host, 1, Integer::sum);
      long pauseMs = HOST_PAUSE_MS << Math.min(failures - 1, MAX_DOUBLINGS);
      busyUntilNs.put(host, loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(pauseMs));
      loop.schedule(pauseMs + 1, this::dispatch);
    } else {
      busyUntilNs.remove(host);
      failuresInRow.remove(host);
    }
    ask.handler().accept(approvals);
    dispatch();
  }
}
