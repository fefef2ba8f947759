package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.customer.ResourceTotals;

/**
 * Logs when the limit of a customer begins and ceases to hold steps back, at most once a second for
 * each customer. Not thread-safe; confined to the event loop thread.
 */
final class LimitHolds {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long MIN_LOG_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

  /** A customer that the limit holds back now, or did recently. */
  private static final class Hold {
    private CustomerPolicy policy;
    private ResourceTotals demand;
    private boolean heldInPass;
    private boolean loggedAsHeld;
    private long loggedNs;

    Hold(CustomerPolicy policy, ResourceTotals demand, long nowNs) {
      this.policy = policy;
      this.demand = demand;
      this.loggedNs = nowNs - MIN_LOG_INTERVAL_NS;
    }
  }

  private final ShardEventLoop loop;
  private final Map<String, Hold> holds = new HashMap<>();

  LimitHolds(ShardEventLoop loop) {
    this.loop = loop;
  }

  /**
   * Records that the limit holds back tasks of a step in this pass.
   *
   * @param policy policy that applies
   * @param demand request of one task
   */
  void stepHeld(CustomerPolicy policy, ResourceTotals demand) {
    Hold hold =
        holds.computeIfAbsent(policy.name(), absent -> new Hold(policy, demand, loop.nowNs()));
    hold.policy = policy;
    hold.demand = demand;
    hold.heldInPass = true;
  }

  /**
   * Ends a pass, and logs what has changed.
   *
   * @param version version of the configuration
   * @param used gives the use of a customer
   */
  void endPass(long version, Function<String, ResourceTotals> used) {
    if (holds.isEmpty()) {
      return;
    }
    long nowNs = loop.nowNs();
    holds
        .values()
        .removeIf(
            hold -> {
              boolean mayLog = nowNs - hold.loggedNs >= MIN_LOG_INTERVAL_NS;
              if (hold.heldInPass != hold.loggedAsHeld && mayLog) {
                hold.loggedAsHeld = hold.heldInPass;
                hold.loggedNs = nowNs;
                log(hold, version, used.apply(hold.policy.name()));
              }
              boolean idle = !hold.heldInPass && !hold.loggedAsHeld && mayLog;
              hold.heldInPass = false;
              return idle;
            });
  }

  private static void log(Hold hold, long version, ResourceTotals used) {
    logger.atInfo().log(
        "customer: %s %s by its limit, uses %s of %s, demand %s, configuration %d.",
        hold.policy.name(),
        hold.heldInPass ? "is held back" : "is no longer held back",
        amounts(used.cpuMillis(), used.memoryMb(), used.accelerators()),
        amounts(
            hold.policy.limit().cpuMillis(),
            hold.policy.limit().memoryMb(),
            hold.policy.limit().accelerators()),
        amounts(hold.demand.cpuMillis(), hold.demand.memoryMb(), hold.demand.accelerators()),
        version);
  }

  private static String amounts(long cpuMillis, long memoryMb, long accelerators) {
    return String.format("(cpu %dm, mem %d MB, acc %d)", cpuMillis, memoryMb, accelerators);
  }
}
