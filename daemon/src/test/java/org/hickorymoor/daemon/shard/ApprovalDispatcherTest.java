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
  private final List<String> asked = new ArrayList<>();
  private final List<CompletableFuture<List<Approval>>> calls = new ArrayList<>();
  private final ApprovalDispatcher desk =
      new ApprovalDispatcher(
          time.new HostEventLoop(),
          (host, step, workers, withinMs) -> {
            asked.add(host + " " + step);
            calls.add(new CompletableFuture<>());
            return calls.get(calls.size() - 1);
          },
          () -> List.of("h0", "h1", "h2"),
          new ShardMetrics(new MetricRegistry()));

  private void ask(String step, int priority, long dueMs, long expectedMs) {
    desk.submit(
        new ApprovalDispatcher.Request(
            step,
            List.of("w"),
            new Urgency(Urgency.Timeliness.ON_TIME, priority, dueMs),
            expectedMs,
            approved -> {}));
  }

  @Test
  void slowDecisionsLeaveHostForQuickOnes() {
    ask("slow-1", 2, 1, SLOW_MS);
    ask("slow-2", 2, 2, SLOW_MS);
    ask("slow-3", 2, 3, SLOW_MS);
    ask("quick", 0, 4, QUICK_MS);

    assertThat(asked).containsExactly("h0 slow-1", "h1 slow-2", "h2 quick").inOrder();
  }

  @Test
  void quickDecisionsShareHostsAndSlowOnesHaveTheirsAlone() {
    ask("slow", 2, 1, SLOW_MS);
    for (int i = 0; i < 4; i++) {
      ask("quick-" + i, 0, 2, QUICK_MS);
    }

    assertThat(asked)
        .containsExactly("h0 slow", "h1 quick-0", "h2 quick-1", "h1 quick-2", "h2 quick-3")
        .inOrder();
  }

  @Test
  void urgentAndEarlyStepsGoFirst() {
    for (int i = 0; i < 2; i++) {
      ask("slow-" + i, 0, 0, SLOW_MS);
    }
    while (asked.size() == calls.size() && asked.size() < 6) {
      ask("running-" + asked.size(), 0, 0, QUICK_MS);
    }
    ask("late", 1, 9, QUICK_MS);
    ask("early", 1, 5, QUICK_MS);
    ask("urgent", 0, 20, QUICK_MS);
    assertThat(asked).hasSize(6);

    calls.get(2).complete(List.of());
    time.pass(1);
    calls.get(3).complete(List.of());
    time.pass(1);

    assertThat(asked.get(6)).isEqualTo("h2 urgent");
    assertThat(asked.get(7)).isEqualTo("h2 early");
  }

  @Test
  void slowDecisionsGoOnThoughMostHostsAreGone() {
    for (int i = 0; i < 2; i++) {
      ask("gone-" + i, 0, 0, QUICK_MS);
      calls.get(i).completeExceptionally(new IllegalStateException("host is gone"));
      time.pass(1);
    }

    ask("slow", 2, 1, SLOW_MS);

    assertThat(asked).contains("h2 slow");
  }
}
