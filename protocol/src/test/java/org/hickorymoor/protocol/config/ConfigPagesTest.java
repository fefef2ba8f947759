package org.hickorymoor.protocol.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.domain.config.ConfigBody;
import org.hickorymoor.domain.config.ConfigRecord.Publication;
import org.hickorymoor.domain.config.DomainConfig;
import org.hickorymoor.domain.config.TeamConfig;
import org.hickorymoor.domain.config.WorkerLimit;
import org.hickorymoor.domain.config.WorkersConfig;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.Problem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies that the configuration reference and the examples match the codec. */
final class ConfigPagesTest {

  private static final int MAX_LOG_BYTES_PER_SECOND = 2_000;
  private static final int SECONDS_PER_CHANGE = 86_400 / 2_400;
  private static final Path EXAMPLES = Path.of("..", "examples", "config");
  private static final Path REFERENCE = Path.of("..", "docs", "operators", "configuration.md");
  private static final Pattern FIELD =
      Pattern.compile("\\| `([A-Za-z.\\[\\]]+)` \\| ([^|]+) \\|.*");
  private static final Pattern RANGE = Pattern.compile("([0-9.]+) to ([0-9.]+)");
  private static final Pattern OUT_OF_RANGE = Pattern.compile("a (whole )?number from .*");
  private static final Pattern KNOWN_FIELDS = Pattern.compile("one of the fields (.*)");

  @Test
  void parsesEveryExample() throws Exception {
    try (Stream<Path> files = Files.list(EXAMPLES)) {
      List<Path> all = files.toList();
      assertThat(all).hasSize(3);
      for (Path file : all) {
        assertThat(ConfigCodec.parse(Files.readString(file)).domains()).hasSize(3);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void referenceListsExactlyTheFieldsOfEachObject(int version) throws Exception {
    Map<String, Set<String>> fieldsByParent = new TreeMap<>();
    for (String field : fields(version).keySet()) {
      int dot = field.lastIndexOf('.');
      String parent = dot < 0 ? "" : field.substring(0, dot);
      fieldsByParent.computeIfAbsent(parent, unused -> new TreeSet<>()).add(lastPart(field));
    }
    for (Map.Entry<String, Set<String>> entry : fieldsByParent.entrySet()) {
      String probe = entry.getKey().isEmpty() ? "probe" : entry.getKey() + ".probe";
      assertWithMessage(entry.getKey())
          .that(knownFields(json(version, probe, "1")))
          .isEqualTo(entry.getValue());
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void referenceStatesRangeOfEachNumber(int version) throws Exception {
    for (Map.Entry<String, String> field : fields(version).entrySet()) {
      Matcher range = RANGE.matcher(field.getValue());
      if (range.matches()) {
        BigDecimal min = new BigDecimal(range.group(1));
        BigDecimal max = new BigDecimal(range.group(2));
        String path = path(field.getKey());
        assertThat(outOfRange(json(version, field.getKey(), min.toString()))).doesNotContain(path);
        assertThat(outOfRange(json(version, field.getKey(), max.toString()))).doesNotContain(path);
        String below = min.subtract(new BigDecimal("0.001")).toString();
        String above = max.add(BigDecimal.ONE).toString();
        assertThat(outOfRange(json(version, field.getKey(), below))).contains(path);
        assertThat(outOfRange(json(version, field.getKey(), above))).contains(path);
      }
    }
  }

  @Test
  void largestSupportedConfigFitsInRecord() {
    Map<String, TeamConfig> teams = new HashMap<>();
    Resources quota = new Resources(1000, 10_000, 1_000_000, 1_000_000, 100);
    for (int i = 0; i < 480; i++) {
      teams.put("team-with-a-long-name-" + i, new TeamConfig(2.5, quota, "domain-" + i % 16));
    }
    Map<String, DomainConfig> domains = new HashMap<>();
    for (int i = 0; i < 16; i++) {
      domains.put("domain-" + i, new DomainConfig("region-" + i % 7, 5));
    }
    Map<String, WorkerLimit> limits = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      limits.put("worker-" + i, new WorkerLimit(50, quota));
    }
    ClusterConfig defaults = ClusterConfig.DEFAULT;
    ClusterConfig config =
        new ClusterConfig(
            0,
            teams,
            defaults.defaultTeam(),
            defaults.classes(),
            defaults.weights(),
            domains,
            new WorkersConfig(WorkerLimit.DEFAULT, limits, limits.keySet()),
            defaults.dedupeWindowMs(),
            defaults.logRetentionMs());

    String json = ConfigCodec.toJson(config);
    String record = ConfigRecordCodec.encodePublication("id", 0, "ada", 0, json);

    System.out.println("config: " + json.length() + " bytes, record: " + record.length());
    assertThat(json.length()).isLessThan(ConfigCodec.MAX_BYTES);
    assertThat(record.length()).isLessThan(MAX_LOG_BYTES_PER_SECOND * SECONDS_PER_CHANGE);
    assertThat(ConfigRecordCodec.decode(record))
        .isEqualTo(new Publication("id", 0, "ada", 0, new ConfigBody.Valid(config)));
  }

  /** Returns the value column of the reference, keyed by field. */
  private static Map<String, String> fields(int version) throws IOException {
    String page = Files.readString(REFERENCE);
    String section = page.split("\n## Schema version " + version + "\n", 2)[1].split("\n## ", 2)[0];
    Map<String, String> fields = new TreeMap<>();
    for (Matcher row : section.lines().map(FIELD::matcher).filter(Matcher::matches).toList()) {
      fields.put(row.group(1), row.group(2));
    }
    assertThat(fields).isNotEmpty();
    return fields;
  }

  /**
   * Creates a record with a single value at a path such as {@code teams.NAME.weight} or
   * teams[].name.
   */
  private static String json(int version, String field, String value) {
    List<String> parts = new ArrayList<>(List.of(field.split("\\.")));
    StringBuilder json = new StringBuilder(value);
    while (!parts.isEmpty()) {
      String part = parts.remove(parts.size() - 1);
      if (part.endsWith("[]")) {
        json.insert(0, "[").append("]");
      }
      json.insert(0, "{\"" + part.replace("[]", "") + "\":").append("}");
    }
    String separator = field.equals("schemaVersion") ? "" : "\"schemaVersion\":" + version + ",";
    return json.insert(1, separator).toString();
  }

  private static String path(String field) {
    return field.replace("[]", "[0]");
  }

  private static String lastPart(String field) {
    return field.substring(field.lastIndexOf('.') + 1).replace("[]", "");
  }

  private static Set<String> outOfRange(String json) {
    return problems(json).stream()
        .filter(problem -> OUT_OF_RANGE.matcher(problem.expected()).matches())
        .map(Problem::path)
        .collect(Collectors.toSet());
  }

  private static Set<String> knownFields(String json) {
    return problems(json).stream()
        .map(problem -> KNOWN_FIELDS.matcher(problem.expected()))
        .filter(Matcher::matches)
        .flatMap(known -> Stream.of(known.group(1).split(", ")))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static List<Problem> problems(String json) {
    try {
      ConfigCodec.parse(json);
      return List.of();
    } catch (InvalidRecordException e) {
      return e.problems();
    }
  }
}
