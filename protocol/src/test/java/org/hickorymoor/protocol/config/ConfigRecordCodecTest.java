package org.hickorymoor.protocol.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorymoor.domain.config.AcceptedPublication;
import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.domain.config.ConfigBody;
import org.hickorymoor.domain.config.ConfigRecord;
import org.hickorymoor.domain.config.ConfigRecord.Malformed;
import org.hickorymoor.domain.config.ConfigRecord.Publication;
import org.hickorymoor.domain.config.ConfigRecord.Snapshot;
import org.junit.jupiter.api.Test;

final class ConfigRecordCodecTest {

  private static final ConfigBody VALID = new ConfigBody.Valid(ClusterConfig.DEFAULT);

  @Test
  void publicationRoundTrips() {
    assertThat(publicationOf("{\"schemaVersion\":2}"))
        .isEqualTo(new Publication("id", 4, "ada", 99, VALID));
  }

  @Test
  void snapshotRoundTrips() {
    AcceptedPublication accepted = new AcceptedPublication(3, 7, "id", "ada", 98);
    Snapshot snapshot = new Snapshot(9, 3, 7, List.of(accepted), 99, VALID);

    assertThat(ConfigRecordCodec.decode(ConfigRecordCodec.encodeSnapshot(snapshot)))
        .isEqualTo(snapshot);
  }

  @Test
  void distinguishesNewerSchemaVersionFromInvalidBody() {
    assertThat(bodyOf("{\"schemaVersion\":3}")).isEqualTo(new ConfigBody.Unreadable("3"));
    assertThat(bodyOf("{\"schemaVersion\":0}")).isInstanceOf(ConfigBody.Invalid.class);
    assertThat(bodyOf("{\"schemaVersion\":2.5}")).isInstanceOf(ConfigBody.Invalid.class);
    assertThat(bodyOf("[]")).isInstanceOf(ConfigBody.Invalid.class);
  }

  @Test
  void decodesUnknownKindOrInvalidFieldAsMalformed() {
    assertThat(ConfigRecordCodec.decode("{\"kind\":\"x\"}")).isInstanceOf(Malformed.class);
    assertThat(ConfigRecordCodec.decode("{\"kind\":\"publication\",\"expectedVersion\":1.5}"))
        .isInstanceOf(Malformed.class);
  }

  @Test
  void decodesBodyThatDecompressesAboveLimitAsMalformed() {
    String compressionBomb = GzipBase64.encode(" ".repeat(ConfigCodec.MAX_BYTES + 1));
    String record =
        "{\"kind\":\"publication\",\"id\":\"a\",\"expectedVersion\":0,\"who\":\"ada\","
            + "\"atMs\":0,\"packedBody\":\""
            + compressionBomb
            + "\"}";

    assertThat(ConfigRecordCodec.decode(record)).isInstanceOf(Malformed.class);
  }

  @Property(seed = "41")
  void decodesArbitraryTextAsMalformed(@ForAll String text) {
    assertThat(ConfigRecordCodec.decode(text)).isInstanceOf(Malformed.class);
  }

  private static ConfigRecord publicationOf(String body) {
    return ConfigRecordCodec.decode(ConfigRecordCodec.encodePublication("id", 4, "ada", 99, body));
  }

  private static ConfigBody bodyOf(String body) {
    return ((Publication) publicationOf(body)).body();
  }
}
