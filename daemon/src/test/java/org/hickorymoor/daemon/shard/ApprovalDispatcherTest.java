package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.ApprovalPort.Approval;
import org.hickorymoor.domain.workload.Urgency;
import org.junit.jupiter.api.Test;

final class ApprovalDispatcherTest {

  private static final long SLOW_MS = 800;
  private static final long QUICK_MS = 40;

  private final VirtualTime time = new VirtualTime(1);
  private final List<String> sentRequests = new ArrayList<>();
  private final List<CompletableFuture<List<Approval>>> calls = new ArrayList<>();
  private final ApprovalDispatcher dispatcher =
      new ApprovalDispatcher(
          time.new HostEventLoop(),
          (host, step, workers, withinMs) -> {
            sentRequests.add(host + " " + step);
            calls.add(new CompletableFuture<>());
            return calls.get(calls.size() - 1);
          },
          () -> List.of("h0", "h1", "h2"),
          new ShardMetrics(new MetricRegistry()));

  private void request(String step, int priority, long dueMs, long expectedMs) {
    dispatcher.submit(
        new ApprovalDispatcher.Request(
            step,
            List.of("w"),
            new Urgency(Urgency.Timeliness.ON_TIME, priority, dueMs),
            expectedMs,
            approved -> {}));
  }

  @Test
  void slowDecisionsLeaveOneHostFreeForQuickOnes() {
    request("slow-1", 2, 1, SLOW_MS);
    request("slow-2", 2, 2, SLOW_MS);
    request("slow-3", 2, 3, SLOW_MS);
    request("quick", 0, 4, QUICK_MS);

    assertThat(sentRequests).containsExactly("h0 slow-1", "h1 slow-2", "h2 quick").inOrder();
  }

  @Test
  void quickDecisionsShareHostsAndSlowOnesDoNot() {
    request("slow", 2, 1, SLOW_MS);
    for (int i = 0; i < 4; i++) {
      request("quick-" + i, 0, 2, QUICK_MS);
    }

    assertThat(sentRequests)
        .containsExactly("h0 slow", "h1 quick-0", "h2 quick-1", "h1 quick-2", "h2 quick-3")
        .inOrder();
  }

  @Test
  void mostUrgentStepsGoFirst() {
    for (int i = 0; i < 2; i++) {
      request("slow-" + i, 0, 0, SLOW_MS);
    }
    while (sentRequests.size() == calls.size() && sentRequests.size() < 6) {
      request("running-" + sentRequests.size(), 0, 0, QUICK_MS);
    }
    request("late", 1, 9, QUICK_MS);
    request("early", 1, 5, QUICK_MS);
    request("urgent", 0, 20, QUICK_MS);
    assertThat(sentRequests).hasSize(6);

    calls.get(2).complete(List.of());
    time.advance(1);
    calls.get(3).complete(List.of());
    time.advance(1);

    assertThat(sentRequests.get(6)).isEqualTo("h2 urgent");
    assertThat(sentRequests.get(7)).isEqualTo("h2 early");
  }

  @Test
  void slowDecisionsContinueWhileMostHostsAreBackingOff() {
    for (int i = 0; i < 2; i++) {
      request("gone-" + i, 0, 0, QUICK_MS);
      calls.get(i).completeExceptionally(new IllegalStateException("host is gone"));
      time.advance(1);
    }

    request("slow", 2, 1, SLOW_MS);

    assertThat(sentRequests).contains("h2 slow");
  }
}
