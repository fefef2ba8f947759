package org.hickorymoor.protocol.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.Problem;
import org.junit.jupiter.api.Test;

final class JobRecordCodecTest {

  private static final String FLAT =
      """
      {"schemaVersion":1,"team":"t","key":"k","name":"cut","kind":"all-at-once","tasks":3,
       "cpuMillis":500,"memoryMb":256}
      """;

  private static final String NESTED =
      """
      {"schemaVersion":2,"team":"t","key":"k","name":"cut","kind":"all-at-once",
       "tasks":{"count":3,"demand":{"cpuMillis":500,"memoryMb":256}}}
      """;

  @Test
  void parsesEquivalentRecordsOfBothVersions() throws Exception {
    JobSpec expected =
        new JobSpec(
            new RequestKey("t", "k"),
            "cut",
            JobKind.ALL_AT_ONCE,
            JobClass.NORMAL,
            3,
            new Resources(1, 1, 500, 256, 0),
            0,
            "",
            true,
            Spread.NONE,
            0,
            null);

    assertThat(JobRecordCodec.parse(FLAT)).isEqualTo(expected);
    assertThat(JobRecordCodec.parse(NESTED)).isEqualTo(expected);
  }

  @Test
  void rejectsFieldsOfOtherVersion() {
    String mixed = FLAT.replace("\"tasks\":3", "\"startWithinMs\":9");

    InvalidRecordException e =
        assertThrows(InvalidRecordException.class, () -> JobRecordCodec.parse(mixed));

    assertThat(e.problems().stream().map(Problem::path)).containsExactly("startWithinMs");
  }

  @Test
  void reportsAllProblemsOfNestedRecord() {
    String invalid =
        """
        {"schemaVersion":2,"team":"a/b","name":"cut","kind":"daemon",
         "tasks":{"count":0,"demand":{"slots":0,"cpuMillis":-1}},"placement":{"spread":"zones"}}
        """;

    InvalidRecordException e =
        assertThrows(InvalidRecordException.class, () -> JobRecordCodec.parse(invalid));

    assertThat(e.problems().stream().map(Problem::path))
        .containsExactly(
            "tasks.count",
            "tasks.demand.slots",
            "tasks.demand.cpuMillis",
            "tasks.demand.memoryMb",
            "placement.spread",
            "team",
            "key",
            "kind");
  }

  @Property(seed = "22")
  void serializedSpecRoundTrips(
      @ForAll JobKind kind,
      @ForAll JobClass jobClass,
      @ForAll Spread spread,
      @ForAll boolean repeatable,
      @ForAll @IntRange(min = 1, max = 1000) int size)
      throws Exception {
    JobSpec spec =
        new JobSpec(
            new RequestKey("team-" + size, "key:" + size),
            "name",
            kind,
            jobClass,
            size,
            new Resources(size, size, size, size, size),
            size,
            "\"<" + size + "\n",
            repeatable,
            spread,
            size,
            repeatable ? "domain" : null);

    assertThat(JobRecordCodec.parse(JobRecordCodec.toJson(spec))).isEqualTo(spec);
  }
}
