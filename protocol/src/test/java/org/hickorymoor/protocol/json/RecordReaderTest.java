package org.hickorymoor.protocol.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class RecordReaderTest {

  private static final int LIMIT_BYTES = 1_000;

  private enum Colour {
    DEEP_ORANGE
  }

  private record Order(
      int version, Colour colour, int count, List<String> sites, Map<String, Long> sizes) {}

  private static Order readOrder(String json) throws InvalidRecordException {
    return RecordReader.read(
        json,
        LIMIT_BYTES,
        reader ->
            new Order(
                reader.schemaVersion(1),
                reader.required("colour").asEnum(Colour.class),
                reader.optional("count", value -> value.asInt(1, 9), 1),
                reader.optional("sites", value -> value.asList(2, ValueReader::asName), List.of()),
                reader.optional(
                    "sizes", value -> value.asMap(2, size -> size.asLong(0, 5)), Map.of())));
  }

  private static List<String> problemsOf(String json) {
    InvalidRecordException e = assertThrows(InvalidRecordException.class, () -> readOrder(json));
    return e.problems().stream().map(Problem::toString).toList();
  }

  @Test
  void readsNestedValuesAndDefaults() throws Exception {
    Order order =
        readOrder(
            "{\"schemaVersion\":1,\"colour\":\"deep-orange\",\"sites\":[\"a\"],"
                + "\"sizes\":{\"b\":5}}");

    assertThat(order).isEqualTo(new Order(1, Colour.DEEP_ORANGE, 1, List.of("a"), Map.of("b", 5L)));
  }

  @Test
  void reportsAllProblemsAtOnce() {
    List<String> problems =
        problemsOf("{\"schemaVersion\":1,\"count\":10,\"sites\":[\"a\",7],\"size\":{\"b\":6}}");

    assertThat(problems)
        .containsExactly(
            "colour: expected a value, got no such field",
            "count: expected a whole number from 1 to 9, got 10",
            "sites[1]: expected a name of 1 to 128 characters of A-Z a-z 0-9 . _ : -, got 7",
            "size: expected one of the fields colour, count, schemaVersion, sites, sizes,"
                + " got unknown field");
  }

  @Test
  void reportsOnlyTheSchemaVersionIfUnsupported() {
    assertThat(problemsOf("{\"schemaVersion\":3,\"paint\":1}"))
        .containsExactly("schemaVersion: expected one of 1, got 3");
  }

  @Test
  void rejectsDuplicateKeys() {
    assertThat(problemsOf("{\"schemaVersion\":1,\"colour\":\"deep-orange\",\"colour\":1}"))
        .containsExactly("colour: expected the field once, got the field twice");
  }

  @Test
  void rejectsOversizeRecord() {
    String large = " ".repeat(LIMIT_BYTES + 1);

    assertThrows(RecordTooLargeException.class, () -> readOrder(large));
  }

  @Test
  void reportsIllegalArgumentExceptionAsProblem() {
    InvalidRecordException e =
        assertThrows(
            InvalidRecordException.class,
            () ->
                RecordReader.read(
                    "{}",
                    LIMIT_BYTES,
                    reader -> {
                      throw new IllegalArgumentException("low above high");
                    }));

    assertThat(e).hasMessageThat().contains("low above high");
  }

  @Property(seed = "21")
  void throwsOnlyInvalidRecordExceptionForArbitraryText(@ForAll String text) {
    assertThat(problemsOf(text)).isNotEmpty();
  }
}
