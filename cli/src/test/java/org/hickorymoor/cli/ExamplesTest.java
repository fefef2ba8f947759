package org.hickorymoor.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.protocol.caller.JobRecordCodec;
import org.junit.jupiter.api.Test;

/** Verifies that the records under {@code examples} can be submitted and run. */
final class ExamplesTest {

  private static final Path KADUNA = Path.of("../examples/kaduna");
  private static final Path CONSORTIUM = Path.of("../examples/consortium");
  private static final Resources SMALLEST_WORKER = new Resources(8, 64, 16_000, 32_768, 0);
  private static final Set<String> PAYLOAD_FIELDS =
      Set.of("sleepMs", "output", "exitCode", "cpuMillis", "memoryMb");

  private static List<JobSpec> records(Path folder) throws Exception {
    try (Stream<Path> files = Files.list(folder)) {
      List<JobSpec> specs = new ArrayList<>();
      for (Path file : files.sorted().toList()) {
        specs.add(JobRecordCodec.parse(Files.readString(file)));
      }
      return specs;
    }
  }

  private static List<JobSpec> all() throws Exception {
    return Stream.concat(records(KADUNA).stream(), records(CONSORTIUM).stream()).toList();
  }

  @Test
  void recordInApiPageIsValid() throws Exception {
    String page = Files.readString(Path.of("../docs/API.md"));
    String record = page.split("```json\n", 2)[1].split("```", 2)[0];

    assertThat(JobRecordCodec.parse(record).name()).isEqualTo("cut-plan");
  }

  @Test
  void examplesCoverAllKinds() throws Exception {
    Set<JobKind> kinds = new TreeSet<>(all().stream().map(JobSpec::kind).toList());

    assertThat(kinds).containsExactlyElementsIn(JobKind.values());
  }

  @Test
  void requestKeysAreUnique() throws Exception {
    List<RequestKey> keys = all().stream().map(JobSpec::request).toList();

    assertThat(keys).containsNoDuplicates();
  }

  @Test
  void tasksFitOnWorkersOfBothDeployments() throws Exception {
    for (JobSpec spec : all()) {
      assertWithMessage(spec.name()).that(spec.demand().fitsIn(SMALLEST_WORKER)).isTrue();
    }
  }

  @Test
  void payloadsUseOnlyFieldsOfTheStandInWorker() throws Exception {
    for (JobSpec spec : all()) {
      Set<String> fields = JsonParser.parseString(spec.payload()).getAsJsonObject().keySet();
      assertThat(PAYLOAD_FIELDS).containsAtLeastElementsIn(fields);
    }
  }

  @Test
  void onlyOrdersAndPlatesAreNotRepeatable() throws Exception {
    for (JobSpec spec : all()) {
      boolean mustRunOnce = Set.of("order-plan", "plate-rasterisation").contains(spec.name());
      assertWithMessage(spec.name()).that(spec.repeatable()).isEqualTo(!mustRunOnce);
    }
  }
}
