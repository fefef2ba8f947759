package org.hickorymoor.domain.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorymoor.domain.config.ConfigRecord.Malformed;
import org.hickorymoor.domain.config.ConfigRecord.Publication;

/**
 * Hosts publish concurrently, repeat records, restart, lose records and exchange snapshots in
 * random order. Guards against hosts that reach different states from the same log.
 */
final class ConfigAgreementTest {

  private static final int HOSTS = 4;
  private static final int STEPS = 120;

  private final List<ConfigRecord> log = new ArrayList<>();
  private final List<Host> hosts = new ArrayList<>();
  private int startOffset;

  /** A host, with the highest version and offset that it has had since its start. */
  private static final class Host {
    private ConfigState state = new ConfigState();
    private long version;
    private long versionOffset = -1;
    private int next;

    void restart() {
      state = new ConfigState();
      version = 0;
      versionOffset = -1;
      next = 0;
    }

    void checkNeverDecreases() {
      assertThat(state.config().version()).isAtLeast(version);
      assertThat(state.configOffset()).isAtLeast(versionOffset);
      version = state.config().version();
      versionOffset = state.configOffset();
    }
  }

  @Property(seed = "31", tries = 500)
  void hostsThatAppliedTheSameRecordsAgree(@ForAll long seed) {
    final Random random = new Random(seed);
    log.clear();
    hosts.clear();
    startOffset = 0;
    ConfigState reference = new ConfigState();
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new Host());
    }
    for (int step = 0; step < STEPS; step++) {
      step(random);
      for (int offset = (int) reference.appliedOffset() + 1; offset < log.size(); offset++) {
        reference.apply(offset, log.get(offset));
      }
      hosts.forEach(Host::checkNeverDecreases);
    }
    for (Host host : hosts) {
      read(host, log.size());
      if (host.state.isComplete()) {
        assertThat(host.state.snapshot(0)).isEqualTo(reference.snapshot(0));
      } else {
        assertThat(host.state.config().version()).isAtMost(reference.config().version());
      }
    }
  }

  @Property(seed = "32", tries = 200)
  void exactlyOnePublicationIsAcceptedForEachVersion(@ForAll long seed) {
    Random random = new Random(seed);
    ConfigState state = new ConfigState();
    for (int offset = 0; offset < 60; offset++) {
      state.apply(offset, publication("p" + random.nextInt(20), random.nextInt(6)));
    }
    for (AcceptedPublication accepted : state.history()) {
      assertThat(state.outcome(accepted.id(), accepted.version() - 1))
          .isEqualTo(new PublicationOutcome.Accepted(accepted.version(), accepted.offset()));
      assertThat(state.outcome("other", accepted.version() - 1))
          .isEqualTo(new PublicationOutcome.Conflict(accepted));
    }
    assertThat(state.history()).hasSize((int) state.config().version());
  }

  private void step(Random random) {
    Host host = hosts.get(random.nextInt(HOSTS));
    Host other = hosts.get(random.nextInt(HOSTS));
    switch (random.nextInt(10)) {
      case 0, 1, 2 -> publish(host, random);
      case 3 -> repeatRandomRecord(random);
      case 4 -> appendSnapshot(host);
      case 5, 6 -> read(host, host.next + random.nextInt(8));
      case 7 -> sendSnapshot(host, other);
      case 8 -> host.restart();
      default -> startOffset += random.nextInt(1 + (log.size() - startOffset) / 4);
    }
  }

  private void publish(Host host, Random random) {
    String id = "p" + random.nextInt(1000);
    long expectedVersion = host.state.config().version();
    log.add(random.nextInt(10) == 0 ? new Malformed("x") : publication(id, expectedVersion));
  }

  private void repeatRandomRecord(Random random) {
    if (!log.isEmpty()) {
      log.add(log.get(random.nextInt(log.size())));
    }
  }

  private void appendSnapshot(Host host) {
    if (host.state.isComplete()) {
      log.add(host.state.snapshot(0));
    }
  }

  private static void sendSnapshot(Host from, Host to) {
    if (from.state.isComplete()) {
      to.state.adopt(from.state.snapshot(0));
    }
  }

  private void read(Host host, int upToOffset) {
    if (host.next < startOffset) {
      host.next = startOffset;
      host.state.skipTo(startOffset);
    }
    while (host.next < Math.min(upToOffset, log.size())) {
      host.state.apply(host.next, log.get(host.next));
      host.next++;
    }
  }

  private static Publication publication(String id, long expectedVersion) {
    ClusterConfig config = ClusterConfig.DEFAULT;
    int sharePercent = (int) (Math.abs(id.hashCode() + expectedVersion) % 100);
    WorkersConfig workers =
        new WorkersConfig(
            new WorkerLimit(sharePercent, null),
            config.workers().limits(),
            config.workers().drained());
    ClusterConfig body =
        new ClusterConfig(
            0,
            config.teams(),
            config.defaultTeam(),
            config.classes(),
            config.weights(),
            config.domains(),
            workers,
            config.dedupeWindowMs(),
            config.logRetentionMs());
    return new Publication(id, expectedVersion, "ada", 0, new ConfigBody.Valid(body));
  }
}
