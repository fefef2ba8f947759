package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class KeyRaceProcessTest {

  private static final List<String> HOSTS = List.of("kaduna-1", "kano-1", "abuja-1");
  private static final int KEYS = 12;
  private static final long WAIT_MS = 40_000;

  @TempDir Path directory;
  private Cell cell;

  @BeforeEach
  void startCell() {
    cell = new Cell(directory);
    for (String domain : List.of("kaduna", "kano", "abuja")) {
      cell.startWorkers(domain, 3);
      cell.startDaemon(domain + "-1", domain, Cell.SHORT_LEASES);
    }
    for (String hostId : HOSTS) {
      cell.awaitCoordinator(List.of(hostId));
    }
  }

  @AfterEach
  void stopCell() {
    cell.close();
  }

  @Test
  void sameKeySubmittedConcurrentlyToThreeFailureDomainsRunsOnce() {
    List<CompletableFuture<HttpJsonClient.Reply>> answers = new ArrayList<>();
    for (int key = 0; key < KEYS; key++) {
      for (String hostId : HOSTS) {
        answers.add(cell.submitAsync(hostId, TestRecords.atMostOnce("order-" + key, 100), WAIT_MS));
      }
    }

    long done =
        answers.stream()
            .map(CompletableFuture::join)
            .filter(reply -> reply.state().equals("done"))
            .count();

    assertThat(done).isAtLeast(KEYS);
    assertThat(cell.countStartedTasks()).isEqualTo(KEYS);
    Invariants.check(cell);
  }

  @Test
  void jobForAnotherFailureDomainRunsThereAndIsAnsweredByEntryHost() {
    String record =
        TestRecords.batch("far-1", "normal", 1, 50, "from afar")
            .replace("\"schemaVersion\":1", "\"schemaVersion\":2")
            .replace("\"tasks\":1,\"cpuMillis\":100,\"memoryMb\":64,", "")
            .replaceFirst(
                "\"payload\":(\".*\")}$",
                "\"tasks\":{\"payload\":$1,\"demand\":{\"cpuMillis\":100,\"memoryMb\":64}},"
                    + "\"placement\":{\"domain\":\"abuja\"}}");

    HttpJsonClient.Reply reply = cell.submit("kano-1", record, WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    assertThat(reply.body().toString()).contains("abuja-w");
  }
}
