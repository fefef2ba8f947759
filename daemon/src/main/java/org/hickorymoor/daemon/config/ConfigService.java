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
 * Keeps this host's configuration the newest that the log or its peers hold, and publishes.
 *
 * <pre>{@code
 * service.addListener(view -> apply(view.config()));
 * service.start();
 * service.publish(json, service.current().config().version(), "ada", id);
 * peer.send(service.recordsAfter(peerStatus.appliedOffset()));
 * }</pre>
 *
 * <p>Safe for use by several threads. Publishing never fails but by its {@link PublishResult}.
 */
public final class ConfigService {

  /** Name of the stream. */
  public static final String STREAM = "config";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Records within which a snapshot is expected. */
  private static final long TAIL_RECORDS = 128;

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
  private boolean peerHeard;
  private boolean readFromStart;
  private LogFollower follower;

  /**
   * Makes a service that knows nothing.
   *
   * @param context the log, timers and clock
   * @param wallClockMs wall-clock time in ms since the epoch, for records only
   * @param budget limit on appends, shared by the process
   * @param settings how to work
   */
  public ConfigService(
      StreamContext context,
      LongSupplier wallClockMs,
      AppendRateLimiter budget,
      ConfigServiceSettings settings) {
    this.context = requireNonNull(context, "context");
    this.wallClockMs = requireNonNull(wallClockMs, "wallClockMs");
    this.settings = requireNonNull(settings, "settings");
    requireNonNull(budget, "budget");
    this.publisher = new ConfigPublisher(context, store, budget, settings);
    this.follower =
        LogFollower.fromTail(
            context, STREAM, TAIL_RECORDS, settings.follower(), new RecordApplier());
    this.snapshots = new SnapshotWriter(context, wallClockMs, budget, settings, store);
    var unused =
        context.metrics().gauge("config.version", () -> () -> current().config().version());
  }

  /** Starts following. Has no effect on a service that runs. */
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
                  this::considerSnapshot,
                  settings.snapshotCheckMs(),
                  settings.snapshotCheckMs(),
                  MILLISECONDS);
    }
    follower().start();
  }

  /** Stops following; publishes under way are answered. */
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
   * Returns the configuration in force.
   *
   * @return version 0 with its defaults before any is known
   */
  public ConfigView current() {
    return store.view();
  }

  /**
   * Tells whether this host has known the newest configuration since its start: all that the log
   * held, or, with the log out, what a peer held.
   *
   * @return false while a new host should not serve
   */
  public boolean ready() {
    synchronized (lock) {
      return ready;
    }
  }

  /**
   * Returns how well this host knows the configuration.
   *
   * @return a snapshot
   */
  public ConfigStatus status() {
    boolean complete = store.read(ConfigState::isComplete);
    long appliedOffset = store.read(ConfigState::appliedOffset);
    return new ConfigStatus(ready(), complete, appliedOffset, follower().status());
  }

  /**
   * Adds a listener, which is told the configuration in force at once.
   *
   * @param listener the listener
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
   * @param publishId unique; a repeat under the same id comes into force once at most
   * @return what became of it, within the publish and the append timeout
   */
  public CompletableFuture<PublishResult> publish(
      String bodyJson, long expectedVersion, String who, String publishId) {
    try {
      var unused = ConfigCodec.parse(bodyJson);
    } catch (InvalidRecordException e) {
      return CompletableFuture.completedFuture(new PublishResult.Invalid(e.problems()));
    }
    PublishResult known = knownResult(publishId, expectedVersion);
    if (known != null) {
      return CompletableFuture.completedFuture(known);
    }
    String record =
        ConfigRecordCodec.publication(
            publishId, expectedVersion, who, wallClockMs.getAsLong(), bodyJson);
    return publisher.publish(record, publishId, expectedVersion);
  }

  /**
   * Restarts a stream whose state is lost: the log has dropped it and no host holds it.
   *
   * <p>The new version is higher than any that the stream can have had. A host that turns up later
   * with an older one takes the new one over.
   *
   * @param bodyJson the configuration, of any known schema version
   * @param who operator
   * @param publishId unique
   * @return accepted; or not published where the state is not lost, or this host can't tell
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
    Snapshot snapshot = restart(config, log.nextOffset(), who, publishId);
    return publisher.publish(
        ConfigRecordCodec.snapshot(snapshot), publishId, snapshot.version() - 1);
  }

  /** Each version took a record, so no version was higher than the number of records. */
  private Snapshot restart(ClusterConfig config, long records, String who, String publishId) {
    long atMs = wallClockMs.getAsLong();
    long version = records + 1;
    AcceptedPublication accepted =
        new AcceptedPublication(version, records - 1, publishId, who, atMs);
    return new Snapshot(
        records - 1, version, records - 1, List.of(accepted), atMs, new ConfigBody.Valid(config));
  }

  /**
   * Says what became of a publish whose result was unknown.
   *
   * @param publishId its id
   * @param expectedVersion version that it expected
   * @return accepted, conflict, or still unknown
   */
  public PublishResult outcome(String publishId, long expectedVersion) {
    return publisher.outcome(publishId, expectedVersion);
  }

  /**
   * Returns the newest publications that came into force.
   *
   * @return at most {@link ConfigState#HISTORY_SIZE}, oldest first
   */
  public List<AcceptedPublication> history() {
    return store.read(ConfigState::history);
  }

  /**
   * Returns what a peer lacks: the state of this host as one record.
   *
   * @param offset offset up to which the peer has applied every record
   * @return empty if this host knows no more
   */
  public List<LogRecord> recordsAfter(long offset) {
    return store.recordsAfter(offset, wallClockMs.getAsLong());
  }

  /**
   * Takes what a peer passes on. An empty list says that the peer knows no more than this host.
   *
   * @param records what the peer's {@link #recordsAfter} returned
   * @return whether anything was new
   */
  public boolean offer(List<LogRecord> records) {
    boolean adopted = false;
    for (LogRecord record : records) {
      if (ConfigRecordCodec.decode(record.data()) instanceof Snapshot snapshot) {
        adopted |= store.adopt(snapshot);
      }
    }
    synchronized (lock) {
      peerHeard |= adopted;
    }
    updateReady();
    return adopted;
  }

  private @Nullable PublishResult knownResult(String publishId, long expectedVersion) {
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
    boolean logOut = log.state() == FollowerStatus.State.OUT;
    synchronized (lock) {
      boolean peerSuffices = peerHeard && readFailed && logOut;
      if (!ready && complete && (log.reachedEnd() || peerSuffices)) {
        ready = true;
        logger.atInfo().log("config: ready");
      }
    }
  }

  private void considerSnapshot() {
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

  /** Reads all that is retained if the tail of the stream held no snapshot to begin with. */
  private void readFromStartIfNeeded(FollowerStatus status) {
    if (!status.reachedEnd() || store.read(ConfigState::isComplete)) {
      return;
    }
    synchronized (lock) {
      if (readFromStart || !running || !store.forgetIfNothingInForce()) {
        return;
      }
      readFromStart = true;
      follower.stop();
      follower = new LogFollower(context, STREAM, 0, settings.follower(), new RecordApplier());
      follower.start();
    }
  }

  /** Applies what the follower reads. */
  private final class RecordApplier implements StreamListener {

    @Override
    public void onRecord(LogRecord record) {
      ConfigRecord decoded = ConfigRecordCodec.decode(record.data());
      store.apply(record.offset(), decoded);
      snapshots.seen(decoded);
    }

    @Override
    public void onGap(StreamGap gap) {
      store.missUpTo(gap.toOffset());
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
