package org.hickorymoor.daemon.cellconfig;

import static java.util.concurrent.CompletableFuture.completedFuture;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorymoor.daemon.cellconfig.ConfigVersions.Snapshot;
import org.hickorymoor.daemon.cellconfig.ConfigVersions.Source;
import org.hickorymoor.daemon.cellconfig.Confirmation.Status;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerReply.CellConfigReply;
import org.hickorymoor.daemon.peer.PeerRequest.GetCellConfig;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Page;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PeerPort;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.shard.ShardEventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Follows the configuration in the store, and asks peers while the store doesn't answer.
 *
 * <pre>{@code
 * ConfigFollower<Routes> follower =
 *     new ConfigFollower<>(settings, log, peers, shard::hostAddresses, loop, parser, metrics);
 * follower.start();
 * Routes routes = follower.current();
 * }</pre>
 *
 * <p>Thread-safe. State changes on the event loop, which should not be that of the shard, since
 * parsing a large configuration takes long.
 *
 * @param <C> type of the parsed configuration
 */
public final class ConfigFollower<C extends CellConfig> {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Short enough to detect an unresponsive connection well within the time to apply a change. */
  private static final long POLL_WAIT_MS = 1_000;

  private static final long TIMEOUT_MS = 700;
  private static final long RETRY_MS = 100;

  /** Time beyond its wait after which an unanswered read counts as a sign of a lost connection. */
  private static final long LATE_MS = 200;

  private static final long PEER_INTERVAL_MS = 300;

  private final ConfigFollowerSettings settings;
  private final KeyedLogPort log;
  private final ShardEventLoop loop;
  private final ConfigVersions<C> versions;
  private final Confirmation confirmation;
  private final PeerConfigSync sync;
  private final ConfigMetrics metrics;
  private final CompletableFuture<@Nullable C> first = new CompletableFuture<>();
  private Status loggedStatus = Status.CONFIRMED;
  private long nextOffset;
  private long reads;
  private long answeredReads;
  private boolean storeAnswers = true;
  private boolean stopped;

  /**
   * Creates a follower; {@link #start} begins to read.
   *
   * @param settings identity and timing of this host
   * @param log the platform's record store
   * @param peers calls other hosts
   * @param hosts returns the peer addresses of all known hosts; callable from any thread
   * @param loop event loop of this follower alone; stopped with it
   * @param parser parses the records
   * @param registry registry of the process, for the metrics
   */
  public ConfigFollower(
      ConfigFollowerSettings settings,
      KeyedLogPort log,
      PeerPort peers,
      Supplier<List<String>> hosts,
      ShardEventLoop loop,
      ConfigParser<C> parser,
      MetricRegistry registry) {
    this.settings = settings;
    this.log = log;
    this.loop = loop;
    this.versions = new ConfigVersions<>(parser);
    this.confirmation = new Confirmation(loop, settings.applyMs());
    this.sync =
        new PeerConfigSync(
            loop, peers, settings, hosts, () -> versions.snapshot().offset(), this::onPeerReply);
    this.metrics = new ConfigMetrics(registry, versions::version, confirmation::ageMs);
  }

  /** Starts to follow the configuration. */
  public void start() {
    loop.execute(
        () -> {
          load(null);
          loop.schedule(PEER_INTERVAL_MS, this::checkPeriodically);
        });
  }

  /** Stops following, and stops the event loop. */
  public void stop() {
    loop.execute(() -> stopped = true);
    loop.stop();
  }

  /** Returns the configuration in force, or null if none has been read yet. */
  public @Nullable C current() {
    return versions.snapshot().config();
  }

  /**
   * Waits for the first configuration.
   *
   * @param timeoutMs maximum time to wait
   * @return the configuration, or null if there is none in time; never fails
   */
  public CompletableFuture<@Nullable C> await(long timeoutMs) {
    return first.copy().completeOnTimeout(null, timeoutMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns whether the configuration was certainly the newest one within the time to apply a
   * version. What rests on the absence of something in it must not be answered otherwise.
   */
  public boolean isConfirmed() {
    return confirmation.status() == Status.CONFIRMED;
  }

  /** Returns whether neither the store nor a peer has answered for the time to apply a version. */
  public boolean isIsolated() {
    return confirmation.status() == Status.ISOLATED;
  }

  /**
   * Answers a peer that asks for a newer configuration, and asks the peer if it knows a newer one.
   *
   * @param request the request
   * @return the reply
   */
  public CompletableFuture<PeerReply> handle(GetCellConfig request) {
    // The age is read first: the record is then at least as new as the one that was confirmed.
    final long confirmedAgeMs = confirmation.ageMs();
    Snapshot<C> snapshot = versions.snapshot();
    if (request.knownOffset() > snapshot.offset()) {
      loop.execute(() -> sync.askSender(request.senderAddress(), request.knownOffset()));
    }
    ByteBuffer record =
        snapshot.offset() > request.knownOffset()
            ? snapshot.record().duplicate()
            : ByteBuffer.allocate(0);
    return completedFuture(new CellConfigReply(snapshot.offset(), confirmedAgeMs, record));
  }

  private void onPeerReply(CellConfigReply reply, Moment sentAt) {
    confirmation.onAnswer();
    boolean applied =
        reply.offset() > versions.snapshot().offset()
            && reply.record().hasRemaining()
            && versions.apply(reply.offset(), reply.record(), Source.PEER);
    if (applied) {
      metrics.appliedFromPeer();
    }
    if (reply.confirmedAgeMs() >= 0) {
      // The peer replied after the request was sent, so this errs towards an older confirmation.
      confirmation.confirm(sentAt.plusMs(-reply.confirmedAgeMs()));
    }
    completeFirst();
  }

  /** Completes the wait for the first configuration, after what confirms it has been noted. */
  private void completeFirst() {
    C config = versions.snapshot().config();
    if (config != null) {
      first.complete(config);
    }
  }

  /** Reads the newest record; used at the start and when history was dropped. */
  private void load(@Nullable String afterKey) {
    final Moment sentAt = Moment.now(loop);
    onReadSent(0);
    loop.then(
        log.readNewest(KeyedStream.CONFIG, afterKey, TIMEOUT_MS),
        (page, failure) -> {
          if (page == null) {
            onReadFailed(failure);
            loop.schedule(RETRY_MS, () -> load(null));
            return;
          }
          if (afterKey == null) {
            // Pages are read one after the other; what is appended meanwhile is polled later.
            nextOffset = page.endOffset();
          }
          page.records().forEach(this::apply);
          if (page.hasMore() && !page.records().isEmpty()) {
            onReadAnswered(null);
            load(lastKey(page));
          } else {
            onReadAnswered(afterKey == null ? sentAt : null);
            poll();
          }
        });
  }

  private static String lastKey(Page page) {
    return page.records().get(page.records().size() - 1).key();
  }

  private void poll() {
    if (stopped) {
      return;
    }
    final Moment sentAt = Moment.now(loop);
    // A store that didn't answer is probed without a wait, so that its return is noticed at once.
    final long waitMs = storeAnswers ? POLL_WAIT_MS : 0;
    onReadSent(waitMs);
    loop.then(
        log.read(KeyedStream.CONFIG, nextOffset, waitMs, waitMs + TIMEOUT_MS),
        (chunk, failure) -> {
          if (failure != null && failure.type() == PlatformException.Type.TRIMMED) {
            onReadAnswered(null);
            load(null);
            return;
          }
          if (chunk == null) {
            onReadFailed(failure);
            loop.schedule(RETRY_MS, this::poll);
            return;
          }
          for (StoredRecord stored : chunk.records()) {
            apply(stored);
            nextOffset = stored.offset() + 1;
          }
          boolean complete = nextOffset >= chunk.endOffset();
          if (chunk.records().isEmpty() && !complete) {
            // The next record may be larger than the store returns from a read.
            onReadAnswered(null);
            loop.schedule(RETRY_MS, () -> load(null));
            return;
          }
          // An empty answer shows that nothing was appended during the wait. One with records may
          // have been on its way for long.
          Moment confirmedAt = chunk.records().isEmpty() ? sentAt.plusMs(waitMs) : sentAt;
          onReadAnswered(complete ? confirmedAt : null);
          poll();
        });
  }

  private void apply(StoredRecord stored) {
    if (stored.key().equals(settings.recordKey()) && !stored.isTombstone()) {
      versions.apply(stored.offset(), ByteBuffer.wrap(stored.value()), Source.STORE);
    }
  }

  private void onReadSent(long waitMs) {
    long read = ++reads;
    loop.schedule(
        waitMs + LATE_MS,
        () -> {
          if (answeredReads < read && reads == read) {
            onStoreLost("a read is unanswered " + LATE_MS + " ms beyond its wait");
          }
        });
  }

  private void onReadFailed(@Nullable PlatformException failure) {
    answeredReads = reads;
    onStoreLost(String.valueOf(failure == null ? null : failure.getMessage()));
  }

  /**
   * Notes an answer of the store.
   *
   * @param confirmedAt when everything that was read was the newest; null if more is to be read
   */
  private void onReadAnswered(@Nullable Moment confirmedAt) {
    answeredReads = reads;
    confirmation.onAnswer();
    if (confirmedAt != null) {
      confirmation.confirm(confirmedAt);
    }
    if (!storeAnswers) {
      storeAnswers = true;
      logger.atInfo().log("config: Store is available again.");
    }
    completeFirst();
  }

  private void onStoreLost(String reason) {
    if (storeAnswers) {
      storeAnswers = false;
      logger.atInfo().log("config: Store is unavailable, asking peers: %s.", reason);
      sync.askRandomPeers(false);
    }
  }

  private void checkPeriodically() {
    if (stopped) {
      return;
    }
    Status status = confirmation.status();
    // A store without the record says nothing about a configuration that peers have.
    if (!storeAnswers || current() == null) {
      sync.askRandomPeers(status == Status.ISOLATED);
    }
    if (status != loggedStatus) {
      loggedStatus = status;
      logStatus(status);
    }
    loop.schedule(PEER_INTERVAL_MS, this::checkPeriodically);
  }

  private void logStatus(Status status) {
    switch (status) {
      case CONFIRMED ->
          logger.atInfo().log("config: Version %d is confirmed again.", versions.version());
      case UNCONFIRMED ->
          logger.atWarning().log(
              "config: Version %d is unconfirmed, last confirmed %d ms ago (-1 for never);"
                  + " answering 503 for unknown keys and queues.",
              versions.version(), confirmation.ageMs());
      case ISOLATED ->
          logger.atWarning().log(
              "config: Isolated, neither the store nor a peer has answered for %d ms; not ready.",
              settings.applyMs());
      default -> throw new IllegalStateException("unknown status " + status);
    }
  }
}
