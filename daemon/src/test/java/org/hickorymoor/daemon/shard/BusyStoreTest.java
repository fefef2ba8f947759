package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.hickorymoor.daemon.shard.Shard.StoreResult;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Load pattern: 40 jobs a second through 7 hosts while the store refuses calls for 5 s ("busy",
 * nothing was done), at several latencies of the refusal.
 */
final class BusyStoreTest {

  private static final int HOSTS = 7;
  private static final int JOBS = 280;
  private static final long JOB_INTERVAL_MS = 25;
  private static final long BUSY_FROM_MS = 1_000;
  private static final long BUSY_UNTIL_MS = 6_000;

  private final Map<String, CompletableFuture<StoreResult>> answers = new LinkedHashMap<>();

  /** Guards against a 504 for jobs of which every attempt was refused. */
  @ParameterizedTest
  @ValueSource(longs = {4, 60, 200, 500, 700, 1_000, 1_300})
  void refusedJobsAreNeverUnknown(long answerMs) {
    SimulatedCell cell = cell(answerMs);
    submitJobs(cell, cell.store::setBusy);

    assertThat(count(StoreResult.UNKNOWN)).isEqualTo(0);
    assertThat(count(StoreResult.NO)).isGreaterThan(0);
    assertThat(storedOf(cell, StoreResult.NO)).isEmpty();
  }

  /** Guards against a 504 where a host and the peers that it asks are turned away. */
  @ParameterizedTest
  @ValueSource(longs = {4, 60, 200, 500, 700, 1_000, 1_300})
  void jobsOfHostsThatAreTurnedAwayAreNeverUnknown(long answerMs) {
    SimulatedCell cell = cell(answerMs);
    submitJobs(
        cell,
        on -> {
          for (int i = 0; i < HOSTS - 1; i++) {
            cell.store.refuseHost("h" + i, on);
          }
        });

    assertThat(count(StoreResult.UNKNOWN)).isEqualTo(0);
    assertThat(storedOf(cell, StoreResult.NO)).isEmpty();
  }

  /**
   * Guards against run times that are kept for the ID of a job that was never stored: the steps of
   * the job that comes back under it would be looked up among those of the first one.
   */
  @Test
  void refusedJobRunsWhenItComesBackWithMoreSteps() {
    SimulatedCell cell = cell(4);
    cell.store.setBusy(true);
    CompletableFuture<StoreResult> refused = cell.submit("h0", "job", step(1, List.of(), false));
    cell.time.advanceUntil(3_000, refused::isDone);
    assertThat(refused.join()).isEqualTo(StoreResult.NO);
    cell.store.setBusy(false);
    cell.time.advance(8_000);

    cell.submit("h0", "job", step(1, List.of(), false), step(1, List.of(0), false));
    assertThat(cell.awaitState("h1", "job", WorkloadState.COMPLETED, 10_000)).isTrue();
  }

  private static SimulatedCell cell(long answerMs) {
    SimulatedCell cell = new SimulatedCell(7, HOSTS, 60);
    cell.awaitCoordinator();
    cell.time.advance(2_000);
    cell.store.answerMs(answerMs);
    return cell;
  }

  /** Switches the refusals. */
  @FunctionalInterface
  private interface Refusals {
    void set(boolean on);
  }

  private void submitJobs(SimulatedCell cell, Refusals refusals) {
    for (int i = 0; i < JOBS; i++) {
      long elapsedMs = i * JOB_INTERVAL_MS;
      if (elapsedMs == BUSY_FROM_MS || elapsedMs == BUSY_UNTIL_MS) {
        refusals.set(elapsedMs == BUSY_FROM_MS);
      }
      String job = "job" + i;
      answers.put(job, cell.submit("h" + i % HOSTS, job, step(1, List.of(), false)));
      cell.time.advance(JOB_INTERVAL_MS);
    }
    cell.time.advanceUntil(
        3_000, () -> answers.values().stream().allMatch(CompletableFuture::isDone));
    cell.time.advance(10_000);
  }

  private long count(StoreResult result) {
    return answers.values().stream().filter(answer -> answer.join() == result).count();
  }

  /** Returns the jobs with an answer whose submission is or was stored. */
  private Set<String> storedOf(SimulatedCell cell, StoreResult result) {
    Set<String> known =
        cell.store.submissions().stream().map(key -> key.substring(2)).collect(Collectors.toSet());
    return answers.entrySet().stream()
        .filter(entry -> entry.getValue().join() == result && known.contains(entry.getKey()))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }
}
