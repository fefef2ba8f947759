package org.hickorymoor.daemon.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.FakeLog;
import org.hickorymoor.daemon.stream.FakeLog.Fault;
import org.hickorymoor.daemon.stream.VirtualTime;
import org.hickorymoor.domain.config.AcceptedPublication;
import org.hickorymoor.domain.config.ConfigRecord.Snapshot;
import org.hickorymoor.domain.config.ConfigState;
import org.hickorymoor.protocol.config.ConfigRecordCodec;

/** Simulates hosts, operators and a faulty log; all random choices derive from one seed. */
final class ConfigSimulation {

  private static final int HOSTS = 3;
  private static final long SETTLE_MS = 60_000;
  private static final ConfigServiceSettings SETTINGS =
      new ConfigServiceSettings(ConfigServiceSettings.DEFAULT.follower(), 2_000, 1_000, 1_000, 32);
  private static final Fault[] FAULTS = {
    Fault.REFUSED, Fault.REPLY_LOST, Fault.REPLY_LOST_THEN_UNAVAILABLE, Fault.REQUEST_LOST
  };

  private record Publish(
      String id, long expectedVersion, CompletableFuture<PublishResult> result) {}

  private final Random random;
  private final FakeLog log = new FakeLog();
  private final VirtualTime time = new VirtualTime();
  private final List<ConfigService> hosts = new ArrayList<>();
  private final List<Long> versions = new ArrayList<>();
  private final List<Publish> publishes = new ArrayList<>();

  ConfigSimulation(long seed) {
    random = new Random(seed);
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(newHost());
      versions.add(0L);
    }
  }

  /** Performs one random action and advances the clock by a random time. */
  void step() {
    int host = random.nextInt(HOSTS);
    switch (random.nextInt(10)) {
      case 0, 1, 2, 3 -> publish(hosts.get(host));
      case 4 -> log.failAppends(FAULTS[random.nextInt(FAULTS.length)]);
      case 5 -> log.setUnavailable(random.nextInt(3) == 0);
      case 6 -> restart(host);
      case 7 -> repeat(hosts.get(host));
      case 8 -> {
        ConfigService to = hosts.get(random.nextInt(HOSTS));
        to.applyPeerRecords(hosts.get(host).recordsAfter(to.status().appliedOffset()));
      }
      default -> dropRecordsBeforeLastSnapshot();
    }
    time.advance(random.nextInt(1500));
  }

  /** Ends an outage of the log and advances the clock far enough for the hosts to catch up. */
  void settle() {
    log.setUnavailable(false);
    time.advance(SETTLE_MS);
  }

  private void publish(ConfigService host) {
    publish(host, "id" + publishes.size(), host.current().config().version());
  }

  private void publish(ConfigService host, String id, long expectedVersion) {
    String body =
        "{\"schemaVersion\":2,\"workers\":{\"defaultLimit\":{\"sharePercent\":"
            + random.nextInt(100)
            + "}}}";
    var result = host.publish(body, expectedVersion, "ada", id);
    publishes.add(new Publish(id, expectedVersion, result));
  }

  private void repeat(ConfigService host) {
    if (!publishes.isEmpty()) {
      Publish earlier = publishes.get(random.nextInt(publishes.size()));
      publish(host, earlier.id(), earlier.expectedVersion());
    }
  }

  private void restart(int host) {
    hosts.get(host).stop();
    hosts.set(host, newHost());
    versions.set(host, 0L);
  }

  private void dropRecordsBeforeLastSnapshot() {
    List<String> records = log.records(ConfigService.STREAM);
    for (int offset = records.size() - 1; offset >= 0; offset--) {
      if (ConfigRecordCodec.decode(records.get(offset)) instanceof Snapshot snapshot) {
        log.dropBefore(ConfigService.STREAM, (int) snapshot.asOfOffset() + 1);
        return;
      }
    }
  }

  private ConfigService newHost() {
    AppendRateLimiter rateLimiter = new AppendRateLimiter(10, 10, time::nowMs);
    ConfigService host =
        new ConfigService(time.context(log, random.nextLong()), time::nowMs, rateLimiter, SETTINGS);
    host.start();
    return host;
  }

  /** Checks that no host has returned to an older version. */
  void checkVersionsNeverDecrease() {
    for (int i = 0; i < HOSTS; i++) {
      long version = hosts.get(i).current().config().version();
      assertThat(version).isAtLeast(versions.get(i));
      versions.set(i, version);
    }
  }

  /** Checks that the hosts agree and that the results returned to operators match the log. */
  void checkAgreement() {
    ConfigState reference = new ConfigState();
    Map<String, AcceptedPublication> accepted = new HashMap<>();
    long offset = 0;
    for (String data : log.records(ConfigService.STREAM)) {
      reference.apply(offset, ConfigRecordCodec.decode(data));
      reference.history().forEach(one -> accepted.put(one.id(), one));
      offset++;
    }
    for (ConfigService host : hosts) {
      assertThat(host.ready()).isTrue();
      assertThat(host.current().config()).isEqualTo(reference.config());
      assertThat(host.current().offset()).isEqualTo(reference.configOffset());
      assertThat(host.history()).isEqualTo(reference.history());
    }
    publishes.forEach(publish -> check(publish, accepted));
  }

  private void check(Publish publish, Map<String, AcceptedPublication> accepted) {
    assertThat(publish.result().isDone()).isTrue();
    PublishResult result = publish.result().join();
    AcceptedPublication publication = accepted.get(publish.id());
    if (result instanceof PublishResult.Accepted reported) {
      assertThat(publication).isNotNull();
      assertThat(reported.version()).isEqualTo(publication.version());
      assertThat(reported.offset()).isEqualTo(publication.offset());
    } else if (result instanceof PublishResult.Conflict) {
      assertWithMessage("conflict of %s", publish.id()).that(publication).isNull();
    } else if (result instanceof PublishResult.NotPublished && calls(publish) == 1) {
      assertWithMessage("not published, %s", publish.id()).that(publication).isNull();
    }
  }

  private long calls(Publish publish) {
    return publishes.stream().filter(other -> other.id().equals(publish.id())).count();
  }
}
