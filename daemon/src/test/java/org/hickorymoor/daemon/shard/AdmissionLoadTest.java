package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: customers send jobs of four tasks of one core and 500 ms at random times, up to
 * four times as many as the 64 cores can run, through three hosts.
 */
final class AdmissionLoadTest {

  private static final int TASKS = 4;

  /** Jobs a second that keep all cores busy. */
  private static final int CAPACITY_JOBS_PER_S = 32;

  private static final int SECONDS = 20;
  private static final double LEVEL = 0.9;

  private final SimulatedPool pool = newPool();

  private static SimulatedPool newPool() {
    SimulatedPool pool = new SimulatedPool();
    pool.time.advance(AdmissionControl.GRACE_MS);
    return pool;
  }

  private static void sendJobs(
      SimulatedPool pool, String customer, double jobsPerS, int seconds, boolean patient) {
    double atMs = 0;
    for (int i = 0; atMs < seconds * 1_000; i++) {
      String id = customer + "-" + seconds + "-" + i;
      pool.time.after((long) atMs, () -> pool.submit(customer, id, TASKS, patient));
      atMs -= Math.log(1 - pool.time.random().nextDouble()) * 1_000 / jobsPerS;
    }
  }

  private static SimulatedPool.Tally flood(double times) {
    SimulatedPool pool = newPool();
    sendJobs(pool, "flood", times * CAPACITY_JOBS_PER_S, SECONDS, false);
    pool.time.advance(SECONDS * 1_000);
    return pool.tally("flood");
  }

  // Guards against accepting so much that most of it ends late.
  @Test
  void goodputStaysLevelAtTwoAndFourTimesTheCapacity() {
    int atCapacity = flood(1).onTime;
    SimulatedPool.Tally twice = flood(2);
    SimulatedPool.Tally fourTimes = flood(4);

    assertThat(twice.onTime).isAtLeast((int) (LEVEL * atCapacity));
    assertThat(fourTimes.onTime).isAtLeast((int) (LEVEL * atCapacity));
    assertThat(twice.refusals).isAtLeast(1);
    assertThat(fourTimes.refusals).isGreaterThan(twice.refusals);
  }

  // Guards against refusing, or delaying, customers for the load of another one.
  @Test
  void otherCustomersDoNotNoticeOneThatSendsFourTimesTheCapacity() {
    // The rank that the flooding customer has above its share.
    pool.shareRanks.put("flood", 1);
    sendJobs(pool, "flood", 4 * CAPACITY_JOBS_PER_S, SECONDS, false);
    sendJobs(pool, "quiet", 0.2 * CAPACITY_JOBS_PER_S, SECONDS, false);
    pool.time.advance(SECONDS * 1_000 + 2_000);

    SimulatedPool.Tally quiet = pool.tally("quiet");
    assertThat(quiet.refusals).isEqualTo(0);
    assertThat(quiet.onTime).isEqualTo(quiet.accepted);
    assertThat(pool.tally("flood").refusals).isAtLeast(1);
  }

  // Guards against workers that run useless jobs for a minute while useful ones are refused, which
  // a sudden loss of workers would cause as well.
  @Test
  void jobsAreAcceptedAndOnTimeWhileWorkersRunWorkThatComesTooLate() {
    for (int i = 0; i < 60 * CAPACITY_JOBS_PER_S; i++) {
      pool.add(
          SimulatedPool.job(
              "flood",
              "burst" + i,
              pool.loop.nowMs(),
              SimulatedCell.step(TASKS, List.of(), false)));
    }
    pool.time.advance(6_000);
    final int burstOnTime = pool.tally("flood").onTime;
    sendJobs(pool, "flood", 0.5 * CAPACITY_JOBS_PER_S, SECONDS, false);
    pool.time.advance(SECONDS * 1_000 + 2_000);

    SimulatedPool.Tally flood = pool.tally("flood");
    assertThat(flood.accepted).isAtLeast((int) (LEVEL * 0.5 * CAPACITY_JOBS_PER_S * SECONDS));
    assertThat(flood.onTime - burstOnTime).isAtLeast((int) (LEVEL * flood.accepted));
  }

  // Guards against refusals that go on after the load, and sums that don't return to zero.
  @Test
  void refusedJobsAreAcceptedWhenTheirCallersReturn() {
    sendJobs(pool, "flood", 3 * CAPACITY_JOBS_PER_S, 10, true);
    pool.time.advance(60_000);

    SimulatedPool.Tally flood = pool.tally("flood");
    assertThat(flood.refusals).isAtLeast(1);
    assertThat(flood.ended).isEqualTo(flood.accepted);
    assertThat(flood.ended).isAtLeast(3 * CAPACITY_JOBS_PER_S * 8);
    assertThat(pool.openJobs()).isEqualTo(0);
    assertThat(pool.backlog.totalCoreMs("pool", Long.MAX_VALUE)).isEqualTo(0);
    assertThat(pool.backlog.customersWithWork("pool")).isEmpty();
    assertThat(pool.backlog.meanWaitingDemand("pool")).isNull();
    assertThat(pool.backlog.queuedJobs("flood")).isEqualTo(0);
    assertThat(pool.backlog.submissionBytes("flood")).isEqualTo(0);
  }

  // Guards against refusing a customer for its own limit while workers idle, below the bound.
  @Test
  void customerThatItsLimitHoldsBackIsRefusedOnlyAtTheBound() {
    pool.limits.put("limited", 4);
    sendJobs(pool, "limited", CAPACITY_JOBS_PER_S, 30, true);
    pool.time.advance(30_000);
    assertThat(pool.tally("limited").refusals).isEqualTo(0);

    sendJobs(pool, "limited", 4 * CAPACITY_JOBS_PER_S, 20, false);
    pool.time.advance(20_000);
    assertThat(pool.tally("limited").refusals).isAtLeast(1);
    assertThat(pool.backlog.queuedJobs("limited")).isAtMost(2_000 + CAPACITY_JOBS_PER_S);
  }
}
