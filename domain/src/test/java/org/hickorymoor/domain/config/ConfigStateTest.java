package org.hickorymoor.domain.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.config.ConfigRecord.Malformed;
import org.hickorymoor.domain.config.ConfigRecord.Publication;
import org.hickorymoor.domain.config.ConfigRecord.Snapshot;
import org.junit.jupiter.api.Test;

final class ConfigStateTest {

  private final ConfigState state = new ConfigState();

  @Test
  void isAtVersionZeroBeforeAnyPublication() {
    assertThat(state.config()).isEqualTo(ClusterConfig.DEFAULT);
    assertThat(state.isComplete()).isTrue();
  }

  @Test
  void acceptsPublicationThatExpectsCurrentVersion() {
    state.apply(0, publication("a", 0));

    assertThat(state.config().version()).isEqualTo(1);
    assertThat(state.outcome("a", 0)).isEqualTo(new PublicationOutcome.Accepted(1, 0));
  }

  @Test
  void acceptsFirstOfTwoConcurrentPublications() {
    state.apply(0, publication("a", 0));
    state.apply(1, publication("b", 0));

    assertThat(state.config().version()).isEqualTo(1);
    PublicationOutcome.Conflict conflict = (PublicationOutcome.Conflict) state.outcome("b", 0);
    assertThat(conflict.winner().id()).isEqualTo("a");
  }

  @Test
  void acceptsAnIdOnceEvenIfItExpectsTheNextVersion() {
    state.apply(0, publication("a", 0));
    state.apply(1, publication("a", 1));

    assertThat(state.config().version()).isEqualTo(1);
  }

  @Test
  void ignoresInvalidAndMalformedRecords() {
    ConfigProblem problem = new ConfigProblem("weights", "a weight above 0", "none");
    state.apply(0, new Publication("a", 0, "ada", 0, new ConfigBody.Invalid(List.of(problem))));
    state.apply(1, new Malformed("no JSON"));

    assertThat(state.config().version()).isEqualTo(0);
    assertThat(state.appliedOffset()).isEqualTo(1);
  }

  @Test
  void keepsVersionAfterGapUntilSnapshotCoversIt() {
    state.apply(0, publication("a", 0));
    state.skipTo(5);
    state.apply(5, publication("e", 3));
    assertThat(state.isComplete()).isFalse();
    assertThat(state.config().version()).isEqualTo(1);

    state.apply(6, new Snapshot(4, 3, 4, List.of(), 0, valid()));

    assertThat(state.isComplete()).isTrue();
    assertThat(state.config().version()).isEqualTo(4);
    assertThat(state.configOffset()).isEqualTo(5);
  }

  @Test
  void ignoresSnapshotThatDoesNotReachEndOfGap() {
    state.skipTo(5);
    state.apply(5, new Snapshot(3, 3, 3, List.of(), 0, valid()));

    assertThat(state.isComplete()).isFalse();
  }

  @Test
  void waitsForSnapshotAfterRecordOfNewerSchema() {
    state.apply(0, new Publication("a", 0, "ada", 0, new ConfigBody.Unreadable("3")));
    state.apply(1, publication("b", 0));
    assertThat(state.isComplete()).isFalse();
    assertThat(state.config().version()).isEqualTo(0);

    state.apply(2, new Snapshot(1, 1, 0, List.of(), 0, valid()));

    assertThat(state.config().version()).isEqualTo(1);
  }

  @Test
  void skipsUnreadablePublicationThatExpectsOlderVersion() {
    state.apply(0, publication("a", 0));
    state.apply(1, new Publication("b", 0, "ada", 0, new ConfigBody.Unreadable("3")));

    assertThat(state.isComplete()).isTrue();
  }

  @Test
  void adoptsOnlyStatesThatAreAhead() {
    ConfigState other = new ConfigState();
    other.apply(0, publication("a", 0));
    final Snapshot early = other.snapshot(0);
    other.apply(1, publication("b", 1));

    assertThat(state.adopt(other.snapshot(0))).isTrue();
    assertThat(state.adopt(early)).isFalse();
    assertThat(state.config().version()).isEqualTo(2);
    assertThat(state.outcome("a", 0)).isEqualTo(new PublicationOutcome.Accepted(1, 0));
  }

  @Test
  void doesNotAdoptLowerVersion() {
    state.apply(0, publication("a", 0));

    assertThat(state.adopt(new Snapshot(9, 0, -1, List.of(), 0, valid()))).isFalse();
    assertThat(state.config().version()).isEqualTo(1);
  }

  @Test
  void buffersNoMoreRecordsThanTheLimit() {
    state.skipTo(1);
    int count = 2 * ConfigState.MAX_BUFFERED_RECORDS;
    for (int i = 1; i <= count; i++) {
      state.apply(i, publication("p" + i, 0));
    }
    state.apply(count + 1L, new Snapshot(0, 7, 0, List.of(), 0, valid()));
    assertThat(state.isComplete()).isFalse();

    state.apply(count + 2L, new Snapshot(count + 1L, 7, 0, List.of(), 0, valid()));
    assertThat(state.isComplete()).isTrue();
  }

  @Test
  void appliesRestoredSnapshotOfHigherVersion() {
    state.apply(0, publication("a", 0));
    state.apply(1, new Snapshot(0, 2, 0, List.of(), 0, valid()));

    assertThat(state.config().version()).isEqualTo(2);
  }

  @Test
  void reportsViolatedConstraintsBetweenFields() {
    ClusterConfig config =
        new ClusterConfig(
            0,
            Map.of("press", new TeamConfig(1, null, "nowhere")),
            TeamConfig.DEFAULT,
            Map.of(),
            new PolicyWeights(0, 0, 0),
            Map.of(),
            WorkersConfig.DEFAULT,
            ClusterConfig.MAX_WINDOW_MS,
            ClusterConfig.MIN_WINDOW_MS);

    assertThat(ConfigValidator.validate(config).stream().map(ConfigProblem::path))
        .containsExactly("weights", "teams.press.homeDomain", "dedupeWindowMs");
  }

  private static Publication publication(String id, long expectedVersion) {
    return new Publication(id, expectedVersion, "ada", 0, valid());
  }

  private static ConfigBody valid() {
    return new ConfigBody.Valid(ClusterConfig.DEFAULT);
  }
}
