package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Records of another writer in each stream of the store. */
final class OddRecordTest {

  private static final long TIMEOUT_MS = 20_000;

  private final SimulatedCell cell = new SimulatedCell(7, 3, 3);

  private static List<byte[]> oddValues() {
    List<byte[]> values = new ArrayList<>();
    for (String text :
        List.of(
            "\n",
            "1",
            "[".repeat(100_000),
            "a".repeat(200_000),
            "10.0.0.9:99999",
            "9223372036854775807\nh\na\nn\nactive@1",
            "9223372036854775808\nh\na\nn\nactive@1",
            "-1\nh\na\nn\nactive@1",
            "1e-20000\n\n\n\n")) {
      values.add(text.getBytes(UTF_8));
    }
    values.add(new byte[] {(byte) 0xff, (byte) 0xfe, 0});
    values.add(new byte[] {1, (byte) 0xdb, 0x7f, -1, -1, -1});
    values.add(new byte[] {1, (byte) 0xdd, 0x7f, -1, -1, -1});
    return values;
  }

  private void writeOddRecords(KeyedStream stream, String key) {
    for (byte[] value : oddValues()) {
      cell.store.put(stream, key, value);
      cell.time.advance(300);
    }
  }

  private String awaitCoordinator() {
    assertThat(cell.time.advanceUntil(TIMEOUT_MS, () -> cell.coordinator() != null)).isTrue();
    return Objects.requireNonNull(cell.coordinator());
  }

  private void assertJobCompletes(String id) {
    String host = awaitCoordinator();
    cell.submit(host, id, SimulatedCell.step(2, List.of(), false));
    assertWithMessage(id)
        .that(cell.awaitState(host, id, WorkloadState.COMPLETED, TIMEOUT_MS))
        .isTrue();
  }

  // Guards against an odd record after which a stream is not followed, or no host takes over.
  @ParameterizedTest
  @EnumSource(
      value = KeyedStream.class,
      names = {"LEDGER", "HOSTS", "OWNERSHIP", "SUBMISSIONS_0", "SUBMISSIONS_1"})
  void oddRecordsEndNeitherTheWorkOfCoordinatorNorTheTakeover(KeyedStream stream) {
    String key = stream == KeyedStream.OWNERSHIP ? CoordinatorRecord.KEY : "odd";
    assertJobCompletes("first");

    writeOddRecords(stream, key);
    assertJobCompletes("second");

    cell.kill(awaitCoordinator());
    writeOddRecords(stream, key);
    assertJobCompletes("third");
    assertThat(cell.workers.violations()).isEmpty();
  }

  @Test
  void oddRecordsBeforeTheFirstStartDelayNoJob() {
    SimulatedCell fresh = new SimulatedCell(8, 0, 3);
    for (KeyedStream stream : KeyedStream.values()) {
      if (stream != KeyedStream.WORKERS) {
        oddValues().forEach(value -> fresh.store.put(stream, "odd", value));
      }
    }
    fresh.startHost("h0");
    assertThat(fresh.time.advanceUntil(TIMEOUT_MS, () -> fresh.coordinator() != null)).isTrue();

    fresh.submit("h0", "job", SimulatedCell.step(2, List.of(), false));

    assertThat(fresh.awaitState("h0", "job", WorkloadState.COMPLETED, TIMEOUT_MS)).isTrue();
  }
}
