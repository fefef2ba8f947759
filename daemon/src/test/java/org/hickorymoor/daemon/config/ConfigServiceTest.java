package org.hickorymoor.daemon.config;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hickorymoor.daemon.audit.AuditEntry;
import org.hickorymoor.daemon.audit.AuditFilter;
import org.hickorymoor.daemon.audit.AuditTrail;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.FakeLog;
import org.hickorymoor.daemon.stream.FakeLog.Fault;
import org.hickorymoor.daemon.stream.FollowerSettings;
import org.hickorymoor.daemon.stream.StreamContext;
import org.hickorymoor.domain.config.ConfigRecord.Snapshot;
import org.hickorymoor.protocol.config.ConfigRecordCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ConfigServiceTest {

  private static final String BODY = "{\"schemaVersion\":2}";
  private static final String SHORT_RETENTION =
      "{\"schemaVersion\":2,\"logRetentionMs\":1000,\"dedupeWindowMs\":1000}";
  private static final FollowerSettings FOLLOWER = new FollowerSettings(16, 10, 100, 1, 5);
  private static final ConfigServiceSettings SETTINGS =
      new ConfigServiceSettings(FOLLOWER, 30_000, 100, 10, 8);
  private static final ConfigServiceSettings SHORT_TIMEOUT =
      new ConfigServiceSettings(FOLLOWER, 1, 100, 10, 8);

  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(4);
  private final FakeLog log = new FakeLog();
  private final List<ConfigService> services = new ArrayList<>();

  @AfterEach
  void stop() {
    services.forEach(ConfigService::stop);
    executor.shutdownNow();
  }

  @Test
  void appliesPublishedConfigurationOnEveryHost() throws Exception {
    ConfigService first = readyService(SETTINGS);
    ConfigService second = readyService(SETTINGS);

    assertThat(first.publish(BODY, 0, "ada", "id").get())
        .isEqualTo(new PublishResult.Accepted(1, 0));

    await().until(() -> second.current().config().version() == 1);
  }

  @Test
  void reportsConflictToOneOfTwoConcurrentPublishers() throws Exception {
    var first = readyService(SETTINGS).publish(BODY, 0, "ada", "id-a");
    var second = readyService(SETTINGS).publish(BODY, 0, "bob", "id-b");

    List<PublishResult> results = List.of(first.get(), second.get());

    assertThat(results).contains(new PublishResult.Accepted(1, 0));
    assertThat(results.stream().filter(PublishResult.Conflict.class::isInstance).count())
        .isEqualTo(1);
  }

  @Test
  void acceptsPublicationOnceIfAppendRepliesAreLost() throws Exception {
    ConfigService service = readyService(SETTINGS);
    log.failAppends(Fault.REQUEST_LOST, Fault.REPLY_LOST, Fault.REPLY_LOST);

    assertThat(service.publish(BODY, 0, "ada", "id").get())
        .isInstanceOf(PublishResult.Accepted.class);
    assertThat(service.publish(BODY, 0, "ada", "id").get())
        .isInstanceOf(PublishResult.Accepted.class);
    assertThat(service.current().config().version()).isEqualTo(1);
  }

  @Test
  void reportsProblemsOfInvalidConfigurationAndAppendsNothing() throws Exception {
    PublishResult result =
        readyService(SETTINGS).publish("{\"schemaVersion\":9}", 0, "ada", "id").get();

    assertThat(((PublishResult.Invalid) result).problems()).hasSize(1);
    assertThat(log.records(ConfigService.STREAM)).isEmpty();
  }

  @Test
  void reportsNotPublishedWhileLogIsUnavailable() throws Exception {
    ConfigService service = readyService(SHORT_TIMEOUT);
    log.setUnavailable(true);

    assertThat(service.publish(BODY, 0, "ada", "id").get())
        .isEqualTo(new PublishResult.NotPublished(PublishResult.Reason.LOG_UNAVAILABLE));
  }

  @Test
  void resolvesUnknownResultFromLaterRecords() throws Exception {
    ConfigService service = readyService(SHORT_TIMEOUT);
    log.setDefaultFault(Fault.REQUEST_LOST);

    assertThat(service.publish(BODY, 0, "ada", "id").get())
        .isEqualTo(new PublishResult.Unknown("id"));
    log.setDefaultFault(Fault.NONE);
    readyService(SETTINGS).publish(BODY, 0, "bob", "other").get();

    await().until(() -> service.outcome("id", 0) instanceof PublishResult.Conflict);
  }

  @Test
  void rejectsPublishOnHostThatIsBehind() throws Exception {
    assertThat(newService(SETTINGS).publish(BODY, 0, "ada", "id").get())
        .isInstanceOf(PublishResult.NotPublished.class);
    assertThat(readyService(SETTINGS).publish(BODY, 5, "ada", "id").get())
        .isEqualTo(new PublishResult.NotPublished(PublishResult.Reason.HOST_BEHIND));
  }

  @Test
  void becomesReadyFromPeerStateWhileLogIsUnavailable() throws Exception {
    ConfigService peer = readyService(SETTINGS);
    peer.publish(BODY, 0, "ada", "id").get();
    log.setUnavailable(true);
    ConfigService host = newService(SETTINGS);
    host.start();
    await().until(() -> peer.status().needsPeerRecords());
    assertThat(host.ready()).isFalse();

    assertThat(host.applyPeerRecords(peer.recordsAfter(host.status().appliedOffset()))).isTrue();

    await().until(host::ready);
    assertThat(host.current()).isEqualTo(peer.current());
    assertThat(peer.recordsAfter(host.status().appliedOffset())).isEmpty();
  }

  @Test
  void snapshotsKeepConfigurationBeyondLogRetention() throws Exception {
    ConfigService host = readyService(SETTINGS);
    host.publish(SHORT_RETENTION, 0, "ada", "id").get();
    await().until(() -> lastSnapshotVersion() == 1);
    log.dropBefore(ConfigService.STREAM, log.records(ConfigService.STREAM).size() - 1);

    ConfigService newHost = readyService(SETTINGS);

    assertThat(newHost.current()).isEqualTo(host.current());
    assertThat(newHost.outcome("id", 0)).isEqualTo(new PublishResult.Accepted(1, 0));
  }

  @Test
  void readsFromStartIfTailHasNoSnapshot() {
    for (int i = 0; i < 200; i++) {
      var unused =
          log.append(
              ConfigService.STREAM,
              ConfigRecordCodec.encodePublication("id" + i, i, "ada", 0, BODY),
              0);
    }

    assertThat(readyService(SETTINGS).current().config().version()).isEqualTo(200);
  }

  @Test
  void isNotReadyIfRetentionDroppedTheState() throws Exception {
    ConfigService host = readyService(SETTINGS);
    for (int i = 0; i < 3; i++) {
      host.publish(BODY, i, "ada", "id" + i).get();
    }
    host.stop();
    log.dropBefore(ConfigService.STREAM, log.records(ConfigService.STREAM).size());
    ConfigService newHost = newService(SETTINGS);
    newHost.start();

    await().until(() -> newHost.status().log().reachedEnd());

    assertThat(newHost.ready()).isFalse();
    assertThat(newHost.status().needsPeerRecords()).isTrue();
  }

  @Test
  void restoresLostStateWithHigherVersion() throws Exception {
    ConfigService old = readyService(SETTINGS);
    for (int i = 0; i < 3; i++) {
      old.publish(BODY, i, "ada", "id" + i).get();
    }
    assertThat(old.restore(BODY, "ada", "restore").get())
        .isEqualTo(new PublishResult.NotPublished(PublishResult.Reason.STATE_NOT_LOST));
    old.stop();
    int records = log.records(ConfigService.STREAM).size();
    log.dropBefore(ConfigService.STREAM, records);
    ConfigService newHost = newService(SETTINGS);
    newHost.start();
    await().until(() -> newHost.status().log().reachedEnd());

    assertThat(newHost.restore(BODY, "bob", "restore").get())
        .isEqualTo(new PublishResult.Accepted(records + 1, records - 1));
    old.start();

    await().until(() -> old.current().equals(newHost.current()));
    assertThat(newHost.publish(BODY, records + 1, "bob", "next").get())
        .isInstanceOf(PublishResult.Accepted.class);
  }

  @Test
  void notifiesListenersOfIncreasingVersions() throws Exception {
    ConfigService service = readyService(SETTINGS);
    List<Long> versions = new CopyOnWriteArrayList<>();
    service.addListener(view -> versions.add(view.config().version()));
    for (int i = 0; i < 5; i++) {
      service.publish(BODY, i, "ada", "id" + i).get();
    }

    await().until(() -> versions.contains(5L));
    assertThat(versions).isInStrictOrder();
  }

  @Test
  void recordsEveryPublishInAuditTrail() throws Exception {
    AuditTrail trail = new AuditTrail(context(), "p1", rateLimiter(), 10);
    trail.start();
    AuditedPublisher publisher = new AuditedPublisher(readyService(SETTINGS), trail, () -> 7);

    publisher.publish(BODY, 0, "ada", "id").get();
    publisher.publish(BODY, 0, "bob", "other").get();

    await().until(() -> trail.read(AuditFilter.newest(10)).size() == 2);
    assertThat(trail.read(AuditFilter.newest(10)).get(0))
        .isEqualTo(new AuditEntry(7, "ada", "config.publish", "config/id", "0", "1", "accepted"));
    assertThat(trail.read(AuditFilter.newest(1)).get(0).outcome())
        .isEqualTo("conflict with version 1");
    trail.stop();
  }

  private long lastSnapshotVersion() {
    List<String> records = log.records(ConfigService.STREAM);
    var last = ConfigRecordCodec.decode(records.get(records.size() - 1));
    return last instanceof Snapshot snapshot ? snapshot.version() : -1;
  }

  private ConfigService readyService(ConfigServiceSettings settings) {
    ConfigService service = newService(settings);
    service.start();
    await().until(service::ready);
    return service;
  }

  private ConfigService newService(ConfigServiceSettings settings) {
    ConfigService service =
        new ConfigService(context(), System::currentTimeMillis, rateLimiter(), settings);
    services.add(service);
    return service;
  }

  private StreamContext context() {
    return new StreamContext(log, executor, ConfigServiceTest::nowMs, new MetricRegistry());
  }

  private static AppendRateLimiter rateLimiter() {
    return new AppendRateLimiter(10_000, 100, ConfigServiceTest::nowMs);
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
