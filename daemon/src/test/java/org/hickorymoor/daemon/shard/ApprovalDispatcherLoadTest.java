package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.hickorymoor.daemon.port.ApprovalPort.Approval;
import org.hickorymoor.domain.workload.Urgency;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: a burst of short jobs, each of which needs a quick decision, while batch jobs keep
 * hosts busy with slow ones. The service processes one call of a host at a time, and the network
 * latency to each host is 30 ms.
 */
final class ApprovalDispatcherLoadTest {

  private static final int HOSTS = 7;
  private static final long LINK_LATENCY_MS = 30;
  private static final long QUICK_MS = 25;
  private static final long SLOW_MS = 550;

  /**
   * Latency that short jobs are allowed beyond their run time; a decision must take less than half
   * of it.
   */
  private static final long TARGET_LATENCY_MS = 600;

  /** Three times the usual rate of 20 steps per second. */
  private static final int BURST_PER_SECOND = 60;

  private static final int BURST_SECONDS = 4;

  private final VirtualTime time = new VirtualTime(1);
  private final Map<String, Long> hostFreeMs = new HashMap<>();
  private final ApprovalDispatcher dispatcher =
      new ApprovalDispatcher(
          time.new HostEventLoop(),
          (host, step, workers, withinMs) -> decide(host, step.startsWith("slow")),
          () -> IntStream.range(0, HOSTS).mapToObj(i -> "h" + i).toList(),
          new ShardMetrics(new MetricRegistry()));

  private CompletableFuture<List<Approval>> decide(String host, boolean slow) {
    CompletableFuture<List<Approval>> answer = new CompletableFuture<>();
    time.after(
        LINK_LATENCY_MS,
        () -> {
          long beginMs = Math.max(time.nowMs(), hostFreeMs.getOrDefault(host, 0L));
          long endMs = beginMs + (slow ? SLOW_MS : QUICK_MS);
          hostFreeMs.put(host, endMs);
          time.after(endMs - time.nowMs() + LINK_LATENCY_MS, () -> answer.complete(List.of()));
        });
    return answer;
  }

  @Test
  void quickDecisionsKeepUpWithBurstBesideSlowOnes() {
    List<Long> tookMs = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      submit("slow-" + i, 2, SLOW_MS, new ArrayList<>());
    }
    int quick = BURST_PER_SECOND * BURST_SECONDS;
    for (int i = 0; i < quick; i++) {
      submit("quick-" + i, 0, QUICK_MS, tookMs);
      time.advance(1_000 / BURST_PER_SECOND);
    }
    time.advance(2_000);

    assertThat(tookMs).hasSize(quick);
    assertThat(tookMs.stream().filter(ms -> ms > TARGET_LATENCY_MS / 2).count())
        .isLessThan(quick / 20);
  }

  private void submit(String step, int priority, long expectedMs, List<Long> tookMs) {
    long sentMs = time.nowMs();
    dispatcher.submit(
        new ApprovalDispatcher.Request(
            step,
            List.of("w"),
            new Urgency(Urgency.Timeliness.ON_TIME, priority, sentMs),
            expectedMs,
            approved -> tookMs.add(time.nowMs() - sentMs)));
  }
}
