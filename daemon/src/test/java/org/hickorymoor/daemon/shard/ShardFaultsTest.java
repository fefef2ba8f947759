package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.hickorymoor.daemon.shard.SimulatedCell.step;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random sequences of faults in virtual time; the fake workers check the scheduler's guarantees
 * throughout.
 */
final class ShardFaultsTest {

  /** Runs another number of seeds: {@code -Dshard.seeds=N}. */
  private static final int SEEDS = Integer.getInteger("shard.seeds", 120);

  private static final int HOSTS = 4;
  private static final int WORKERS = 6;
  private static final long FAULT_PHASE_MS = 40_000;
  private static final long RECOVERY_MS = 60_000;

  /** Runs a single seed: {@code -Dshard.seed=N}. */
  private static final Long SINGLE_SEED = Long.getLong("shard.seed");

  static List<Long> seeds() {
    if (SINGLE_SEED != null) {
      return List.of(SINGLE_SEED);
    }
    List<Long> seeds = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      seeds.add(seed);
    }
    return seeds;
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void acceptedJobsEndOnceAndNothingRunsTwice(long seed) {
    Scenario scenario = new Scenario(seed);
    scenario.injectFaults();
    scenario.awaitRecovery();
    scenario.verifyInvariants();
  }

  @Test
  void invariantChecksDetectWorkersThatIgnoreFencing() {
    boolean detected = false;
    for (long seed = 1; seed <= SEEDS && !detected; seed++) {
      Scenario scenario = new Scenario(seed);
      scenario.cell.workers.ignoreFencing();
      scenario.injectFaults();
      scenario.awaitRecovery();
      detected = !scenario.cell.workers.violations().isEmpty();
    }

    assertWithMessage("a start that violates a guarantee").that(detected).isTrue();
  }

  /** A random sequence of submissions and faults. */
  private static final class Scenario {
    private final long seed;
    private final Random random;
    private final SimulatedCell cell;
    private final Map<String, CompletableFuture<Shard.StoreResult>> submitted = new HashMap<>();
    private final List<String> cancelled = new ArrayList<>();
    private int jobs;

    Scenario(long seed) {
      this.seed = seed;
      random = new Random(seed);
      cell = new SimulatedCell(seed, HOSTS, WORKERS);
      cell.workers.durations(() -> 100L + random.nextInt(3_000));
      cell.workers.outcomes(
          (task, number, worker) ->
              random.nextInt(12) == 0 ? TerminationReason.FAILED : TerminationReason.DONE);
    }

    private String randomHost() {
      return "h" + random.nextInt(HOSTS);
    }

    void injectFaults() {
      while (cell.time.nowMs() < FAULT_PHASE_MS) {
        cell.time.advance(50 + random.nextInt(250));
        submit();
        if (random.nextInt(6) == 0) {
          injectFault();
        }
      }
    }

    private void submit() {
      String host = randomHost();
      if (cell.isDead(host)) {
        return;
      }
      String id = String.format("job%04d", jobs++);
      StepSpec first = step(1 + random.nextInt(4), List.of(), false);
      StepSpec second = step(1 + random.nextInt(3), List.of(0), false);
      submitted.put(id, cell.submit(host, id, first, second));
      if (random.nextInt(10) == 0) {
        cancelled.add(id);
        cell.time.after(
            random.nextInt(3_000),
            () -> {
              if (!cell.isDead(host)) {
                var unused = cell.shard(host).cancel(id, 2_800);
              }
            });
      }
    }

    private void injectFault() {
      long durationMs = 300 + random.nextInt(6_000);
      String host = randomHost();
      FakeWorkers.Worker worker = cell.workers.get("w" + random.nextInt(WORKERS));
      switch (random.nextInt(9)) {
        case 0 -> {
          if (!cell.isDead(host)) {
            cell.kill(host);
            cell.time.after(durationMs, () -> cell.startHost(host));
          }
        }
        case 1 -> cell.freeze(host, durationMs);
        case 2 -> {
          cell.store.setUnresponsive(true);
          cell.time.after(durationMs, () -> cell.store.setUnresponsive(false));
        }
        case 3 -> {
          cell.store.refuseHost(host, true);
          cell.time.after(durationMs, () -> cell.store.refuseHost(host, false));
        }
        case 4 -> {
          cell.store.loseWriteAnswers(0.3, random.nextDouble());
          cell.time.after(durationMs, () -> cell.store.loseWriteAnswers(0, 0));
        }
        case 5 -> {
          worker.crash();
          cell.time.after(durationMs, worker::restart);
        }
        case 6 -> {
          worker.setDisconnected(true);
          cell.time.after(durationMs, () -> worker.setDisconnected(false));
        }
        case 7 -> {
          worker.delayStartsAndStops(0.3);
          worker.dropAnswers(0.2);
          cell.time.after(
              durationMs,
              () -> {
                worker.delayStartsAndStops(0);
                worker.dropAnswers(0);
              });
        }
        default -> cell.store.compact();
      }
    }

    void awaitRecovery() {
      cell.time.advance(RECOVERY_MS);
    }

    void verifyInvariants() {
      assertWithMessage("seed %s", seed).that(cell.workers.violations()).isEmpty();
      submitted.forEach(
          (id, stored) -> {
            if (stored.isDone() && stored.join() == Shard.StoreResult.YES) {
              Shard.JobQueryResult answer = cell.ask("h0", id);
              assertWithMessage("seed %s, %s answered", seed, id).that(answer.answered()).isTrue();
              WorkloadState state = answer.state();
              assertWithMessage("seed %s, %s known", seed, id).that(state).isNotNull();
              assertWithMessage("seed %s, %s is %s", seed, id, state)
                  .that(state != null && state.isFinal())
                  .isTrue();
              assertWithMessage("seed %s, %s cancelled by nobody", seed, id)
                  .that(state == WorkloadState.CANCELLED && !cancelled.contains(id))
                  .isFalse();
            }
          });
    }
  }
}
