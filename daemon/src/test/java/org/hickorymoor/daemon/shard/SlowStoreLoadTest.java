package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: three times the usual job rate while the store is fifty times slower than usual. It
 * answers after 200 ms and processes the appends to a stream one at a time, 150 ms each, which is
 * slower than the hosts send them if each appends its own jobs.
 */
final class SlowStoreLoadTest {

  private static final int HOSTS = 7;
  private static final int JOBS_PER_SECOND = 40;
  private static final int SECONDS = 5;

  /** The coordinator and its workers need about a second to start all submitted jobs. */
  private static final long DRAIN_MS = 1_500;

  @Test
  void everyJobIsStoredAndStarted() {
    SimulatedCell cell = new SimulatedCell(7, HOSTS, 60);
    cell.time.advanceUntil(20_000, () -> cell.coordinator() != null);
    cell.time.advance(2_000);
    cell.store.answerMs(200);
    cell.store.serialAppendMs(150);

    List<CompletableFuture<Shard.StoreResult>> answers = submitJobs(cell, HOSTS);
    cell.time.advance(DRAIN_MS);

    assertThat(answers.stream().map(CompletableFuture::join).distinct().toList())
        .containsExactly(Shard.StoreResult.YES);
    assertThat(cell.workers.starts()).isEqualTo(JOBS_PER_SECOND * SECONDS);
  }

  /** Many hosts share few partitions, to each of which the store appends one record at a time. */
  @Test
  void fewJobsAreRefusedThoughManyHostsSharePartitions() {
    int hosts = 47;
    SimulatedCell cell = new SimulatedCell(7, hosts, 60);
    cell.time.advanceUntil(20_000, () -> cell.coordinator() != null);
    cell.time.advance(5_000);
    cell.store.answerMs(390);
    cell.store.serialAppendMs(290);

    List<CompletableFuture<Shard.StoreResult>> answers = submitJobs(cell, hosts);

    long stored = answers.stream().filter(answer -> answer.join() == Shard.StoreResult.YES).count();
    assertThat(stored).isAtLeast(answers.size() * 95 / 100);
  }

  @Test
  void hostsAppendThemselvesAgainAfterTheStoreHasRecovered() {
    int hosts = 16;
    SimulatedCell cell = new SimulatedCell(7, hosts, 60);
    cell.time.advanceUntil(20_000, () -> cell.coordinator() != null);
    cell.time.advance(5_000);
    cell.store.answerMs(390);
    cell.store.serialAppendMs(290);
    submitJobs(cell, hosts);
    assertThat(cell.relayedSubmissions()).isGreaterThan(0);

    cell.store.answerMs(3);
    cell.store.serialAppendMs(0);
    cell.time.advance(3_000);
    submitJobs(cell, hosts);
    int relayedByThen = cell.relayedSubmissions();
    submitJobs(cell, hosts);

    assertThat(cell.relayedSubmissions()).isEqualTo(relayedByThen);
  }

  /** Submits jobs at an even rate through all hosts and waits for the answers. */
  private static List<CompletableFuture<Shard.StoreResult>> submitJobs(
      SimulatedCell cell, int hosts) {
    List<CompletableFuture<Shard.StoreResult>> answers = new ArrayList<>();
    for (int i = 0; i < JOBS_PER_SECOND * SECONDS; i++) {
      answers.add(cell.submit("h" + i % hosts, "job" + i, step(1, List.of(), false)));
      cell.time.advance(1_000 / JOBS_PER_SECOND);
    }
    cell.time.advanceUntil(3_000, () -> answers.stream().allMatch(CompletableFuture::isDone));
    return answers;
  }
}
