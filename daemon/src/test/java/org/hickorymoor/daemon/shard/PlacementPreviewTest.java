package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PlacementReport;
import org.hickorymoor.daemon.peer.PlacementReport.StepFit;
import org.hickorymoor.daemon.peer.PlacementReport.Unfit;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.customer.CustomerDirectory;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Previews on 64 cores of four workers; each task of the load takes one core. */
final class PlacementPreviewTest {

  private static final CustomerPolicy ACME =
      new CustomerPolicy("acme", 1, new Resources(0, 0, 5_000, 0, 0));

  private static final CustomerPolicy OTHER = new CustomerPolicy("other", 1, Resources.NONE);

  private static final CustomerPolicy IDLE = new CustomerPolicy("idle", 100, Resources.NONE);

  private static SimulatedCell cell() {
    SimulatedCell cell = new SimulatedCell(17, 3, 4);
    cell.customers = new CustomerDirectory(7, Map.of("acme", ACME, "other", OTHER, "idle", IDLE));
    cell.workers.durations(() -> 3_000L);
    return cell;
  }

  private static CompletableFuture<@Nullable PlacementReport> ask(
      SimulatedCell cell, @Nullable String customer, StepSpec... steps) {
    WorkloadSpec spec = new WorkloadSpec("p", List.of(steps), 0, 0, 0);
    Submission job =
        new Submission(
            "preview",
            0,
            SimulatedCell.POLICY,
            spec,
            customer == null ? null : Objects.requireNonNull(cell.customers).find(customer));
    return cell.shard("h1").previewPlacement(job, customer, 2_000);
  }

  private static PlacementReport preview(
      SimulatedCell cell, @Nullable String customer, StepSpec... steps) {
    CompletableFuture<@Nullable PlacementReport> report = ask(cell, customer, steps);
    cell.time.advanceUntil(2_500, report::isDone);
    return Objects.requireNonNull(report.join(), "no coordinator answered");
  }

  /** Guards against a report that names free workers and not the limit that keeps the job back. */
  @Test
  void limitAndUseOfHeldBackCustomerAreReported() {
    SimulatedCell cell = cell();
    cell.awaitCoordinator();
    cell.submit("h0", "acme-load", ACME, step(20, List.of(), false));
    cell.time.advanceUntil(3_000, () -> cell.workers.running().size() == 5);

    PlacementReport report =
        preview(cell, "acme", step(3, List.of(), false), step(1, List.of(0), false));

    assertThat(report.refusals()).isEmpty();
    PlacementReport.CustomerStanding standing = Objects.requireNonNull(report.customer());
    assertThat(standing.limit().cpuMillis()).isEqualTo(5_000);
    assertThat(standing.used().cpuMillis()).isEqualTo(5_000);
    assertThat(report.basis().configVersion()).isEqualTo(7);
    assertThat(report.stepsBefore()).isEqualTo(1);
    assertThat(report.timing().steps()).hasSize(2);
    assertThat(report.steps()).hasSize(1);
    StepFit fit = report.steps().get(0);
    assertThat(fit.permitted()).isEqualTo(0);
    assertThat(fit.fitNow()).isEqualTo(4);
    assertThat(fit.best()).hasSize(4);
  }

  /** Guards against a report without the reason for which a job can never start. */
  @Test
  void jobThatFitsNowhereIsReportedWithReasons() {
    SimulatedCell cell = cell();
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    cell.workers.drain("w0");
    cell.time.advance(2_000);
    StepSpec tooLarge =
        new StepSpec(
            6, 900_000, 500, 0, 500, List.of(), false, true, false, null, null, 0, false, false, "",
            0, false, 0);

    PlacementReport report = preview(cell, "acme", tooLarge);

    assertThat(report.refusals()).hasSize(1);
    assertThat(report.refusals().get(0)).contains("the limit of the customer is 5000");
    StepFit fit = report.steps().get(0);
    assertThat(fit.fitNow()).isEqualTo(0);
    assertThat(fit.fitEmpty()).isEqualTo(0);
    assertThat(fit.best()).isEmpty();
    assertThat(fit.unfit()).containsExactly(new Unfit("draining", 1), new Unfit("processors", 3));
    assertThat(preview(cell, "nobody", tooLarge).refusals().get(0)).contains("unknown customer");
  }

  /**
   * Guards against previews that take tokens, count as waiting or keep run times of their job.
   *
   * <p>Load: a customer at its limit and one beyond its rate and its share, beside jobs without a
   * customer; some questions are about a customer without jobs.
   */
  @Test
  void previewsChangeNothing() {
    assertThat(trace(true)).isEqualTo(trace(false));
  }

  /** Returns the running tasks with their workers in each 50 ms, then the metrics. */
  private static List<String> trace(boolean withPreviews) {
    SimulatedCell cell = cell();
    final String coordinator = cell.awaitCoordinator();
    List<CompletableFuture<@Nullable PlacementReport>> asked = new ArrayList<>();
    List<String> trace = new ArrayList<>();
    for (int round = 0; round < 200; round++) {
      if (round % 20 == 0) {
        cell.submit("h0", "acme" + round, ACME, step(4, List.of(), false));
        cell.submit("h0", "other" + round, OTHER, step(40, List.of(), false));
        cell.submit("h0", "burst" + round, OTHER, step(2, List.of(), false));
        cell.submit("h2", "free" + round, step(10, List.of(), false));
      }
      if (withPreviews) {
        for (int i = 0; i < 4; i++) {
          // Questions share a job ID, so that run times kept by ID would be those of another job.
          asked.add(ask(cell, "other", step(1, List.of(), false)));
          asked.add(ask(cell, "idle", step(1, List.of(), false), step(2 + i, List.of(0), false)));
          asked.add(ask(cell, null, step(60, List.of(), false)));
        }
      }
      cell.time.advance(50);
      for (String task : new TreeSet<>(cell.workers.running())) {
        trace.add(round + " " + task + " " + cell.workers.workerOf(task));
      }
    }
    for (CompletableFuture<@Nullable PlacementReport> report : asked) {
      assertThat(report.getNow(null)).isNotNull();
    }
    trace.add(cell.workers.starts() + " starts, " + cell.store.submissions());
    MetricRegistry metrics = cell.registry(coordinator);
    metrics.getCounters().forEach((name, counter) -> trace.add(name + " " + counter.getCount()));
    metrics.getGauges().forEach((name, gauge) -> trace.add(name + " " + gauge.getValue()));
    return trace;
  }

  /** Guards against a question that never ends, or an empty answer, while nobody coordinates. */
  @Test
  void previewEndsWithoutCoordinator() {
    SimulatedCell cell = cell();
    cell.kill(cell.awaitCoordinator());
    cell.store.setUnresponsive(true);
    String host =
        cell.hostNames().stream().filter(name -> !cell.isDead(name)).findFirst().orElseThrow();
    WorkloadSpec spec = new WorkloadSpec("p", List.of(step(1, List.of(), false)), 0, 0, 0);
    CompletableFuture<@Nullable PlacementReport> report =
        cell.shard(host)
            .previewPlacement(
                new Submission("preview", 0, SimulatedCell.POLICY, spec), null, 2_000);

    assertThat(cell.time.advanceUntil(2_100, report::isDone)).isTrue();
    assertThat(report.join()).isNull();
  }
}
