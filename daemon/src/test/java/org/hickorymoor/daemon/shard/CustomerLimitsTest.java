package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import com.google.common.collect.Maps;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.customer.CustomerDirectory;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Limits and shares of customers on 64 cores; each task takes one core. */
final class CustomerLimitsTest {

  private static final int CORES = 64;

  private final SimulatedCell cell = new SimulatedCell(17, 3, 4);
  private long version;

  private static CustomerPolicy customer(String name, double weight, int cores) {
    return new CustomerPolicy(name, weight, new Resources(0, 0, cores * 1_000, 0, 0));
  }

  private void configure(CustomerPolicy... policies) {
    cell.customers =
        new CustomerDirectory(++version, Maps.uniqueIndex(List.of(policies), CustomerPolicy::name));
  }

  private static StepSpec gang(int count) {
    return new StepSpec(
        count, 1_000, 500, 0, 500, List.of(), false, true, false, null, null, 0, false, false, "",
        0, false, 0);
  }

  /** Returns the number of running tasks of the jobs whose names have a prefix. */
  private long running(String prefix) {
    return cell.workers.running().stream().filter(task -> task.startsWith(prefix)).count();
  }

  /** Guards against steps wider than the limit that never start, or start as a whole. */
  @Test
  void stepWiderThanLimitRunsInWaves() {
    configure(customer("acme", 1, 5));
    String coordinator = cell.awaitCoordinator();
    cell.submit("h0", "acme", customer("acme", 1, 0), step(20, List.of(), false));
    long highest = 0;
    boolean hasMetrics = false;
    for (int i = 0; i < 1_200; i++) {
      cell.time.advance(5);
      highest = Math.max(highest, running("acme"));
      hasMetrics |=
          cell.registry(coordinator).getGauges().containsKey("customers.acme.limit-held-steps");
    }

    assertThat(highest).isEqualTo(5);
    assertThat(cell.workers.starts()).isEqualTo(20);
    assertThat(cell.awaitState("h1", "acme", WorkloadState.COMPLETED, 1_000)).isTrue();
    assertThat(hasMetrics).isTrue();
  }

  /** Guards against work within the limit that a small task of the customer holds back for ever. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void workWithinLimitStartsBesideSmallLastingTask(boolean isGang) {
    configure(customer("acme", 1, 10));
    cell.workers.durations(() -> 600_000L);
    cell.awaitCoordinator();
    cell.submit("h0", "acme-small", customer("acme", 1, 0), step(1, List.of(), true));
    cell.awaitRun("acme-small.0.0.0");

    StepSpec large =
        new StepSpec(
            1, 9_600, 500, 0, 500, List.of(), false, false, false, null, null, 0, false, true, "",
            0, false, 0);
    cell.submit("h0", "acme-large", customer("acme", 1, 0), isGang ? gang(10) : large);
    assertThat(cell.time.advanceUntil(3_000, () -> running("acme-large") == (isGang ? 10 : 1)))
        .isTrue();
  }

  /** Guards against starts without a limit on a coordinator that has no configuration yet. */
  @Test
  void jobsOfCustomersBeginWithTheFirstConfiguration() {
    cell.customers = null;
    cell.awaitCoordinator();
    cell.submit("h0", "acme", customer("acme", 1, 0), step(20, List.of(), false));
    cell.submit("h0", "free", step(1, List.of(), false));
    assertThat(cell.awaitState("h0", "free", WorkloadState.COMPLETED, 5_000)).isTrue();
    assertThat(cell.workers.starts()).isEqualTo(1);

    configure(customer("acme", 1, 0));
    assertThat(cell.time.advanceUntil(1_000, () -> running("acme") == 20)).isTrue();
  }

  /** Guards against members of a gang that are stopped, and against starts above the new limit. */
  @Test
  void limitLoweredWhileGangIsHalfPlacedStopsNothingAndHoldsLaterStarts() {
    configure(customer("acme", 1, 10));
    cell.workers.durations(() -> 3_000L);
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    // The gang is placed within some 10 ms, and started once its placement is stored.
    cell.store.answerMs(100);
    cell.submit("h0", "acme-gang", customer("acme", 1, 0), gang(8));
    cell.time.advance(60);
    assertThat(running("acme-gang")).isEqualTo(0);

    configure(customer("acme", 1, 4));
    cell.submit("h0", "acme-later", customer("acme", 1, 0), step(6, List.of(), false));
    cell.time.advanceUntil(3_000, () -> running("acme-gang") == 8);
    assertThat(running("acme-gang")).isEqualTo(8);
    long highestLater = 0;
    while (cell.time.nowMs() < 60_000 && cell.workers.startsOf("acme-later.0.0.5") == 0) {
      cell.time.advance(5);
      highestLater = Math.max(highestLater, running("acme-later"));
      assertThat(running("acme-gang") == 0 || running("acme-later") == 0).isTrue();
    }
    assertThat(highestLater).isEqualTo(4);
    assertThat(cell.awaitState("h1", "acme-later", WorkloadState.COMPLETED, 20_000)).isTrue();
  }

  /**
   * Load: steps of 12 tasks at a limit of 10, while coordinators die or freeze between storing
   * placements and sending them, orders arrive late, answers are lost and workers are cut off.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void limitHoldsThroughTakeoversLateOrdersAndPartitions(long seed) {
    final Random random = new Random(seed);
    configure(customer("acme", 1, 10));
    cell.workers.durations(() -> 200L + random.nextInt(2_500));
    for (FakeWorkers.Worker worker : cell.workers.all()) {
      worker.delayStartsAndStops(0.3);
      worker.dropAnswers(0.1);
    }
    cell.awaitCoordinator();
    int jobs = 0;
    int next = 3;
    for (int round = 0; round < 12; round++) {
      String entry = cell.hostNames().get(cell.hostNames().size() - 1);
      for (int i = 0; i < 2; i++) {
        cell.submit(entry, "acme" + jobs++, customer("acme", 1, 0), step(12, List.of(), false));
      }
      FakeWorkers.Worker worker = cell.workers.all().get(random.nextInt(4));
      worker.setDisconnected(round % 3 == 1);
      String coordinator = cell.coordinator();
      int failsAfterMs = random.nextInt(400);
      for (int ms = 0; ms < 3_000; ms += 5) {
        cell.time.advance(5);
        assertWithMessage("seed %s round %s", seed, round).that(running("acme")).isAtMost(10);
        if (ms / 5 == failsAfterMs / 5 && coordinator != null && round % 2 == 0) {
          if (random.nextBoolean()) {
            cell.kill(coordinator);
            cell.startHost("h" + next++);
          } else {
            cell.freeze(coordinator, 2_500);
          }
        }
      }
      cell.workers.all().forEach(each -> each.setDisconnected(false));
    }
    assertThat(cell.workers.starts()).isAtLeast(40);
    assertThat(cell.workers.violations()).isEmpty();
  }

  /** Load: one customer with twice as many tasks as cores. Guards against cores that stay idle. */
  @Test
  void oneCustomerMakesFullUseOfFreeRoom() {
    configure(customer("acme", 0.1, 0), customer("idle", 100, 0));
    cell.workers.durations(() -> 20_000L);
    cell.awaitCoordinator();
    for (int job = 0; job < 16; job++) {
      cell.submit("h0", "acme" + job, customer("acme", 0.1, 0), step(8, List.of(), false));
    }

    // A share of the processors is kept free for the highest priority, which these jobs have.
    assertThat(cell.time.advanceUntil(10_000, () -> running("acme") == CORES)).isTrue();
  }

  /**
   * Load: one customer sends ten times its share, 640 tasks a second of 0.5 s each for 32 cores;
   * the other sends 3 tasks each 100 ms. Guards against a customer that takes all workers.
   */
  @Test
  void jobsOfOthersStartInTimeWhenOneCustomerSendsTenTimesItsShare() {
    assertThat(slowestStartOfOther(true)).isLessThan(600L);
  }

  /** Shows that the load of the test above delays others where jobs have no customer. */
  @Test
  void loadOfTenTimesTheShareDelaysOthersWithoutCustomers() {
    assertThat(slowestStartOfOther(false)).isGreaterThan(600L);
  }

  private long slowestStartOfOther(boolean withCustomers) {
    final CustomerPolicy greedy = customer("greedy", 20, 0);
    final CustomerPolicy modest = customer("modest", 20, 0);
    configure(greedy, modest);
    cell.workers.durations(() -> 500L);
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    long slowestMs = 0;
    Map<String, Long> waiting = new HashMap<>();
    for (int ms = 0; ms < 10_000; ms += 10) {
      if (ms % 100 == 0) {
        int number = ms / 100;
        cell.submit(
            "h0", "greedy" + number, withCustomers ? greedy : null, step(64, List.of(), false));
        if (ms >= 4_000) {
          String job = "modest" + number;
          cell.submit("h1", job, withCustomers ? modest : null, step(3, List.of(), false));
          waiting.put(job, cell.time.nowMs());
        }
      }
      cell.time.advance(10);
      for (String job : List.copyOf(waiting.keySet())) {
        long waitedMs = cell.time.nowMs() - waiting.getOrDefault(job, 0L);
        slowestMs = Math.max(slowestMs, waitedMs);
        if (cell.workers.startsOf(job + ".0.0.2") > 0) {
          waiting.remove(job);
        }
      }
    }
    return slowestMs;
  }
}
