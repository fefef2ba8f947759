package org.hickorymoor.protocol.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.Problem;
import org.junit.jupiter.api.Test;

final class ConfigCodecTest {

  private static final String FLAT =
      """
      {"schemaVersion":1,
       "teams":[{"name":"press","weightPercent":250,"homeDomain":"east","slots":40}],
       "waitingPercent":70,"packingPercent":20,"controlPercent":10,
       "urgentStartTargetMs":900,
       "domains":[{"name":"east","region":"siam"}],
       "workerSharePercent":80,"drainedWorkers":["w9"],
       "dedupeWindowMs":60000,"logRetentionMs":600000}
      """;

  private static final String NESTED =
      """
      {"schemaVersion":2,
       "teams":{"press":{"weight":2.5,"homeDomain":"east","quota":{"slots":40}}},
       "classes":{"urgent":{"startTargetMs":900}},
       "weights":{"waiting":0.7,"packing":0.2,"control":0.1},
       "domains":{"east":{"region":"siam"}},
       "workers":{"defaultLimit":{"sharePercent":80},"drained":["w9"]},
       "dedupeWindowMs":60000,"logRetentionMs":600000}
      """;

  @Test
  void parsesEquivalentRecordsOfBothVersions() throws Exception {
    assertThat(ConfigCodec.parse(FLAT)).isEqualTo(ConfigCodec.parse(NESTED));
  }

  @Test
  void serializedConfigRoundTrips() throws Exception {
    ClusterConfig config = ConfigCodec.parse(NESTED);

    assertThat(ConfigCodec.parse(ConfigCodec.toJson(config))).isEqualTo(config);
  }

  @Test
  void usesDefaultsForMissingFields() throws Exception {
    assertThat(ConfigCodec.parse("{\"schemaVersion\":2}")).isEqualTo(ClusterConfig.DEFAULT);
    assertThat(ConfigCodec.parse(NESTED).jobClass(JobClass.URGENT).maxQueuedTasksPerTeam())
        .isEqualTo(5_000);
  }

  @Test
  void reportsOnlyTheVersionIfUnsupported() {
    assertThat(problemsOf("{\"schemaVersion\":3,\"teems\":{}}"))
        .containsExactly(new Problem("schemaVersion", "one of 2, 1", "3"));
  }

  @Test
  void reportsAllProblemsWithTheirPaths() {
    String json =
        """
        {"schemaVersion":2,
         "teams":{"press":{"wait":2,"homeDomain":"west"}},
         "weights":{"waiting":-1,"packing":0.2,"control":0.1},
         "workers":{"limits":{"w1":{"sharePercent":101}}},
         "dedupeWindowMs":60000,"logRetentionMs":1000}
        """;

    assertThat(problemsOf(json).stream().map(Problem::path))
        .containsExactly(
            "teams.press.wait",
            "teams.press.homeDomain",
            "weights.waiting",
            "workers.limits.w1.sharePercent",
            "dedupeWindowMs");
  }

  @Test
  void reportsProblemsOfFlatVersion() {
    String json =
        """
        {"schemaVersion":1,"teams":[{"name":"a"},{"name":"a"}],
         "waitingPercent":70,"packingPercent":20,"controlPercent":20,"weights":{}}
        """;

    assertThat(problemsOf(json).stream().map(Problem::path))
        .containsExactly("teams", "controlPercent", "weights");
  }

  private static List<Problem> problemsOf(String json) {
    return assertThrows(InvalidRecordException.class, () -> ConfigCodec.parse(json)).problems();
  }
}
