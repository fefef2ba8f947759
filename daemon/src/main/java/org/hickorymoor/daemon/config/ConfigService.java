package org.hickorymoor.daemon.config;

import static java.util.Objects.requireNonNull;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.function.LongSupplier;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.FollowerStatus;
import org.hickorymoor.daemon.stream.LogFollower;
import org.hickorymoor.daemon.stream.StreamContext;
import org.hickorymoor.daemon.stream.StreamGap;
import org.hickorymoor.daemon.stream.StreamListener;
import org.hickorymoor.domain.config.AcceptedPublication;
import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.domain.config.ConfigBody;
import org.hickorymoor.domain.config.ConfigRecord;
import org.hickorymoor.domain.config.ConfigRecord.Snapshot;
import org.hickorymoor.domain.config.ConfigState;
import org.hickorymoor.protocol.config.ConfigCodec;
import org.hickorymoor.protocol.config.ConfigRecordCodec;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.platform.LogRecord;
import org.jspecify.annotations.Nullable;

/**
 * Keeps this host's configuration up to date from the log and from peers, and publishes new ones.
 *
 * <pre>{@code
 * service.addListener(view -> apply(view.config()));
 * service.start();
 * service.publish(json, service.current().config().version(), "ada", id);
 * peer.send(service.recordsAfter(peerStatus.appliedOffset()));
 * }</pre>
 *
 * <p>Thread-safe. The futures of publish and restore never complete exceptionally; failures are
 * reported as a {@link PublishResult}.
 */
public final class ConfigService {

  /** Name of the log stream that holds the configuration. */
  public static final String STREAM = "config";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of records read first at the end of the stream, expected to contain a snapshot. */
  private static final long INITIAL_TAIL_RECORDS = 128;

  private final StreamContext context;
  private final LongSupplier wallClockMs;
  private final ConfigServiceSettings settings;
  private final ConfigStore store = new ConfigStore();
  private final ConfigPublisher publisher;
  private final SnapshotWriter snapshots;
  private final Object lock = new Object();

  // Guarded by lock.
  private @Nullable ScheduledFuture<?> snapshotTask;
  private boolean running;
  private boolean ready;
  private boolean readFailed;
  private boolean stateFromPeer;
  private boolean readFromStart;
  private LogFollower follower;

  /**
   * Creates a service at version 0. {@link #start} begins reading the stream.
   *
   * @param context the log, timers and clock
   * @param wallClockMs wall-clock time in ms since the epoch, used only in records
   * @param rateLimiter limit on appends, shared by the whole process
   * @param settings timeouts and intervals
   */
  public ConfigService(
      StreamContext context,
      LongSupplier wallClockMs,
      AppendRateLimiter rateLimiter,
      ConfigServiceSettings settings) {
    this.context = requireNonNull(context, "context");
    this.wallClockMs = requireNonNull(wallClockMs, "wallClockMs");
    this.settings = requireNonNull(settings, "settings");
    requireNonNull(rateLimiter, "rateLimiter");
    this.publisher = new ConfigPublisher(context, store, rateLimiter, settings);
    this.follower =
        LogFollower.fromTail(
            context, STREAM, INITIAL_TAIL_RECORDS, settings.follower(), new RecordApplier());
    this.snapshots = new SnapshotWriter(context, wallClockMs, rateLimiter, settings, store);
    var unused =
        context.metrics().gauge("config.version", () -> () -> current().config().version());
  }

  /** Starts following the stream. Has no effect if the service is already running. */
  public void start() {
    synchronized (lock) {
      if (running) {
        return;
      }
      running = true;
      snapshotTask =
          context
              .executor()
              .scheduleWithFixedDelay(
                  this::writeSnapshotIfDue,
                  settings.snapshotCheckMs(),
                  settings.snapshotCheckMs(),
                  MILLISECONDS);
    }
    follower().start();
  }

  /** Stops following the stream and completes all pending publishes. */
  public void stop() {
    synchronized (lock) {
      running = false;
      if (snapshotTask != null) {
        snapshotTask.cancel(false);
        snapshotTask = null;
      }
    }
    follower().stop();
    publisher.stop();
  }

  /**
   * Returns the configuration in effect.
   *
   * @return the configuration; version 0 with the defaults until one has been read
   */
  public ConfigView current() {
    return store.view();
  }

  /**
   * Returns whether this host has caught up with the configuration since it started: it has read
   * the log to its end or, if the log is unavailable, has taken the state of a peer.
   *
   * @return false while a newly started host should not serve requests
   */
  public boolean ready() {
    synchronized (lock) {
      return ready;
    }
  }

  /**
   * Returns how far this host has caught up with the configuration stream.
   *
   * @return the status at the time of the call
   */
  public ConfigStatus status() {
    boolean complete = store.read(ConfigState::isComplete);
    long appliedOffset = store.read(ConfigState::appliedOffset);
    return new ConfigStatus(ready(), complete, appliedOffset, follower().status());
  }

  /**
   * Adds a listener and calls it at once with the configuration in effect.
   *
   * @param listener receives this and every later configuration
   */
  public void addListener(ConfigListener listener) {
    store.addListener(listener);
  }

  /**
   * Publishes a configuration.
   *
   * @param bodyJson the configuration, of any known schema version
   * @param expectedVersion version that it replaces
   * @param who operator
   * @param publishId unique id; publishing again under the same id takes effect at most once
   * @return the result, available within the sum of the publish timeout and the append timeout
   */
  public CompletableFuture<PublishResult> publish(
      String bodyJson, long expectedVersion, String who, String publishId) {
    try {
      var unused = ConfigCodec.parse(bodyJson);
    } catch (InvalidRecordException e) {
      return CompletableFuture.completedFuture(new PublishResult.Invalid(e.problems()));
    }
    PublishResult known = immediateResult(publishId, expectedVersion);
    if (known != null) {
      return CompletableFuture.completedFuture(known);
    }
    String record =
        ConfigRecordCodec.encodePublication(
            publishId, expectedVersion, who, wallClockMs.getAsLong(), bodyJson);
    return publisher.publish(record, publishId, expectedVersion);
  }

  /**
   * Restores the configuration of a stream whose state is lost, that is, dropped from the log and
   * held by no host.
   *
   * <p>The new version is higher than any that the stream can have had, so that a host that still
   * holds an older version and connects later adopts the new one.
   *
   * @param bodyJson the configuration, of any known schema version
   * @param who operator
   * @param publishId unique id
   * @return accepted, or not published if the state is not lost or this host cannot tell
   */
  public CompletableFuture<PublishResult> restore(String bodyJson, String who, String publishId) {
    ClusterConfig config;
    try {
      config = ConfigCodec.parse(bodyJson);
    } catch (InvalidRecordException e) {
      return CompletableFuture.completedFuture(new PublishResult.Invalid(e.problems()));
    }
    FollowerStatus log = follower().status();
    boolean live = log.reachedEnd() && log.state() == FollowerStatus.State.LIVE;
    if (!live || store.read(ConfigState::isComplete)) {
      return CompletableFuture.completedFuture(
          new PublishResult.NotPublished(PublishResult.Reason.STATE_NOT_LOST));
    }
    Snapshot snapshot = restartSnapshot(config, log.nextOffset(), who, publishId);
    return publisher.publish(
        ConfigRecordCodec.encodeSnapshot(snapshot), publishId, snapshot.version() - 1);
  }

  /**
   * Creates a snapshot with a version above all earlier ones: each version needed a record, so none
   * was higher than the number of records.
   */
  private Snapshot restartSnapshot(
      ClusterConfig config, long records, String who, String publishId) {
    long atMs = wallClockMs.getAsLong();
    long version = records + 1;
    AcceptedPublication accepted =
        new AcceptedPublication(version, records - 1, publishId, who, atMs);
    return new Snapshot(
        records - 1, version, records - 1, List.of(accepted), atMs, new ConfigBody.Valid(config));
  }

  /**
   * Returns the outcome of an earlier publish whose result was unknown.
   *
   * @param publishId id of the publish
   * @param expectedVersion version that the publish was to replace
   * @return accepted, conflict, or unknown if it is still undecided
   */
  public PublishResult outcome(String publishId, long expectedVersion) {
    return publisher.outcome(publishId, expectedVersion);
  }

  /**
   * Returns the most recent publications that took effect.
   *
   * @return at most {@link ConfigState#HISTORY_SIZE}, oldest first
   */
  public List<AcceptedPublication> history() {
    return store.read(ConfigState::history);
  }

  /**
   * Returns this host's state as one snapshot record, for a peer that is behind.
   *
   * @param offset offset up to which the peer has applied every record
   * @return the snapshot; empty if this host is not ahead of the peer or has a gap
   */
  public List<LogRecord> recordsAfter(long offset) {
    return store.recordsAfter(offset, wallClockMs.getAsLong());
  }

  /**
   * Applies the records that a peer sent. An empty list means that the peer is not ahead.
   *
   * @param records result of the peer's {@link #recordsAfter}
   * @return whether the state changed
   */
  public boolean applyPeerRecords(List<LogRecord> records) {
    boolean adopted = false;
    for (LogRecord record : records) {
      if (ConfigRecordCodec.decode(record.data()) instanceof Snapshot snapshot) {
        adopted |= store.adopt(snapshot);
      }
    }
    synchronized (lock) {
      stateFromPeer |= adopted;
    }
    updateReady();
    return adopted;
  }

  private @Nullable PublishResult immediateResult(String publishId, long expectedVersion) {
    PublishResult known = outcome(publishId, expectedVersion);
    if (!(known instanceof PublishResult.Unknown)) {
      return known;
    }
    long version = current().config().version();
    if (version > expectedVersion) {
      return new PublishResult.Conflict(version, null);
    }
    synchronized (lock) {
      if (!running) {
        return new PublishResult.NotPublished(PublishResult.Reason.STOPPED);
      }
      boolean behind = !ready || version < expectedVersion;
      return behind ? new PublishResult.NotPublished(PublishResult.Reason.HOST_BEHIND) : null;
    }
  }

  private void updateReady() {
    boolean complete = store.read(ConfigState::isComplete);
    FollowerStatus log = follower().status();
    boolean logUnavailable = log.state() == FollowerStatus.State.OUT;
    synchronized (lock) {
      boolean peerStateUsable = stateFromPeer && readFailed && logUnavailable;
      if (!ready && complete && (log.reachedEnd() || peerStateUsable)) {
        ready = true;
        logger.atInfo().log("config: caught up with the configuration, ready to serve");
      }
    }
  }

  private void writeSnapshotIfDue() {
    boolean live = follower().status().state() == FollowerStatus.State.LIVE;
    if (live && ready()) {
      snapshots.writeIfDue(current().config().logRetentionMs());
    }
  }

  private LogFollower follower() {
    synchronized (lock) {
      return follower;
    }
  }

  /** Reads all retained records if the tail of the stream contained no snapshot to start from. */
  private void readFromStartIfNeeded(FollowerStatus status) {
    if (!status.reachedEnd() || store.read(ConfigState::isComplete)) {
      return;
    }
    synchronized (lock) {
      if (readFromStart || !running || !store.resetIfUnpublished()) {
        return;
      }
      readFromStart = true;
      follower.stop();
      follower = new LogFollower(context, STREAM, 0, settings.follower(), new RecordApplier());
      follower.start();
    }
  }

  /** Applies the records that the follower reads to the state. */
  private final class RecordApplier implements StreamListener {

    @Override
    public void onRecord(LogRecord record) {
      ConfigRecord decoded = ConfigRecordCodec.decode(record.data());
      store.apply(record.offset(), decoded);
      snapshots.recordRead(decoded);
    }

    @Override
    public void onGap(StreamGap gap) {
      store.skipTo(gap.toOffset());
    }

    @Override
    public void onStatus(FollowerStatus status) {
      synchronized (lock) {
        readFailed |= status.state() == FollowerStatus.State.OUT;
      }
      updateReady();
      readFromStartIfNeeded(status);
    }
  }
}
