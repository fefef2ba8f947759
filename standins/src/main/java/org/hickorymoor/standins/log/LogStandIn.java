package org.hickorymoor.standins.log;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.base.Utf8;
import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.RateLimiter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.hickorymoor.protocol.platform.AppendCommand;
import org.hickorymoor.protocol.platform.AppendReply;
import org.hickorymoor.protocol.platform.ReadReply;
import org.hickorymoor.standins.http.Exchange;
import org.hickorymoor.standins.http.HttpService;
import org.hickorymoor.standins.http.MalformedRequestException;
import org.jspecify.annotations.Nullable;

/**
 * A simulated append-only log service with streams, offsets, an append rate limit and limited
 * retention.
 *
 * <pre>{@code
 * LogStandIn log = new LogStandIn(LogSettings.defaults());
 * log.start();
 * log.setFaults(LogFaults.losingReplies(1));
 * // ... the next append over HTTP at log.address() takes effect without a reply ...
 * log.stop();
 * }</pre>
 *
 * <p>Implements the log API of {@code docs/PLATFORM.md} and, for tests, {@code POST /v1/faults}
 * with {@code {"outage":"none|refuse|hang","loseReplies":0,"slowMs":0}}, which replaces all faults.
 * A read returns at most a few MiB and so may return fewer records than requested. Records and
 * address survive a stop and restart. Thread-safe.
 */
public final class LogStandIn {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final String STREAMS = "/v1/streams/";
  private static final String APPEND = "/append";
  private static final String FAULTS = "/v1/faults";
  private static final int MAX_DATA_BYTES = 256 * 1024;
  private static final long DEFAULT_MAX_RECORDS = 1_000;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;

  private final LogSettings settings;
  private final HttpService http;
  private final RateLimiter limiter;
  private final ConcurrentHashMap<String, LogStream> streams = new ConcurrentHashMap<>();
  private final Object faultsLock = new Object();
  private final List<Exchange> heldExchanges = new ArrayList<>();
  private LogFaults faults = LogFaults.NONE;
  private volatile @Nullable ScheduledThreadPoolExecutor timer;

  /**
   * Creates the log without starting it.
   *
   * @param settings its settings
   */
  public LogStandIn(LogSettings settings) {
    this.settings = settings;
    this.limiter = RateLimiter.create(settings.appendsPerSecond());
    this.http = new HttpService("log", settings.bindHost(), settings.port(), this::handle);
  }

  /**
   * Starts serving, with the records of earlier runs.
   *
   * @throws IOException if the port can't be bound
   */
  public void start() throws IOException {
    ScheduledThreadPoolExecutor starting =
        new ScheduledThreadPoolExecutor(1, LogStandIn::newTimerThread);
    starting.setRemoveOnCancelPolicy(true);
    timer = starting;
    http.start();
    logger.atFine().log("log: serves at %s", http.address());
  }

  /** Stops serving and keeps the records. No-op if the log is not running. */
  public void stop() {
    http.stop();
    ScheduledThreadPoolExecutor stopping = timer;
    timer = null;
    if (stopping != null) {
      stopping.shutdownNow();
    }
  }

  /**
   * Returns the address at which the log serves.
   *
   * @return {@code ip:port}
   */
  public String address() {
    return http.address();
  }

  /**
   * Replaces the faults.
   *
   * @param changed faults from now on
   */
  public void setFaults(LogFaults changed) {
    List<Exchange> released = new ArrayList<>();
    synchronized (faultsLock) {
      faults = changed;
      if (changed.outage() != LogFaults.Outage.HANG) {
        released.addAll(heldExchanges);
        heldExchanges.clear();
      }
    }
    released.forEach(Exchange::closeWithoutReply);
  }

  /**
   * Returns the remaining faults.
   *
   * @return the faults, with the number of replies that are yet to be lost
   */
  public LogFaults faults() {
    synchronized (faultsLock) {
      return faults;
    }
  }

  /**
   * Appends a record, bypassing rate limit and faults.
   *
   * @param stream name of the stream
   * @param data the record
   * @return offset of the record
   */
  public long append(String stream, String data) {
    return stream(stream).append(data);
  }

  /**
   * Reads records, bypassing faults.
   *
   * @param stream name of the stream
   * @param fromOffset first offset to read
   * @param maxRecords maximum number of records
   * @return the records, with start and end offset of the stream
   */
  public ReadReply read(String stream, long fromOffset, int maxRecords) {
    return stream(stream).read(fromOffset, maxRecords);
  }

  int heldExchangeCount() {
    synchronized (faultsLock) {
      return heldExchanges.size();
    }
  }

  private void handle(Exchange exchange) throws MalformedRequestException {
    if (exchange.path().equals(FAULTS)) {
      handleFaults(exchange);
      return;
    }
    if (interceptedByOutage(exchange)) {
      return;
    }
    String path = exchange.path();
    boolean isAppend = exchange.method().equals("POST") && path.endsWith(APPEND);
    if (path.startsWith(STREAMS) && isAppend) {
      handleAppend(path.substring(STREAMS.length(), path.length() - APPEND.length()), exchange);
    } else if (path.startsWith(STREAMS) && exchange.method().equals("GET")) {
      handleRead(path.substring(STREAMS.length()), exchange);
    } else {
      exchange.replyError(
          STATUS_NOT_FOUND,
          "not_found",
          "expected a path of the log API, got " + exchange.target());
    }
  }

  private void handleFaults(Exchange exchange) throws MalformedRequestException {
    if (exchange.method().equals("POST")) {
      setFaults(exchange.body(LogFaults.class));
    }
    exchange.reply(faults());
  }

  /** Refuses or holds the call during an outage; returns whether it did. */
  private boolean interceptedByOutage(Exchange exchange) {
    synchronized (faultsLock) {
      LogFaults.Outage outage = faults.outage();
      if (outage == LogFaults.Outage.NONE) {
        return false;
      }
      if (outage == LogFaults.Outage.HANG) {
        heldExchanges.add(exchange);
      } else {
        exchange.replyError(STATUS_SERVICE_UNAVAILABLE, "out", "the log is unavailable");
      }
      return true;
    }
  }

  private void handleAppend(String name, Exchange exchange) throws MalformedRequestException {
    String data = exchange.body(AppendCommand.class).data();
    checkData(data, name);
    if (!limiter.tryAcquire()) {
      exchange.replyError(
          STATUS_TOO_MANY_REQUESTS,
          "limited",
          "expected at most " + settings.appendsPerSecond() + " appends per second; retry later");
      return;
    }
    long offset = stream(name).append(data);
    if (consumeLostReply()) {
      exchange.closeWithoutReply();
    } else {
      sendReply(exchange, new AppendReply(offset));
    }
  }

  private static void checkData(@Nullable String data, String name)
      throws MalformedRequestException {
    if (data == null) {
      throw new MalformedRequestException(
          "expected the field data in an append to " + name + ", got none");
    }
    int bytes = Utf8.encodedLength(data);
    if (bytes > MAX_DATA_BYTES) {
      throw new MalformedRequestException(
          "expected at most "
              + MAX_DATA_BYTES
              + " bytes in an append to "
              + name
              + ", got "
              + bytes);
    }
  }

  private void handleRead(String name, Exchange exchange) throws MalformedRequestException {
    long fromOffset = exchange.queryNumber("from", 0);
    long maxRecords = exchange.queryNumber("max", DEFAULT_MAX_RECORDS);
    long waitMs = exchange.queryNumber("waitMs", 0);
    LogStream stream = stream(name);
    if (waitMs <= 0) {
      sendReply(exchange, stream.read(fromOffset, maxRecords));
      return;
    }
    CompletableFuture<Void> arrival = stream.arrival(fromOffset);
    ScheduledThreadPoolExecutor scheduler = timer;
    if (scheduler != null && !arrival.isDone()) {
      var timeout = scheduler.schedule(() -> arrival.complete(null), waitMs, MILLISECONDS);
      var unusedCancel = arrival.whenComplete((done, failure) -> timeout.cancel(false));
    }
    var unusedAnswer =
        arrival.thenRun(() -> completeRead(exchange, stream, arrival, fromOffset, maxRecords));
  }

  private void completeRead(
      Exchange exchange,
      LogStream stream,
      CompletableFuture<Void> arrival,
      long fromOffset,
      long maxRecords) {
    stream.removeWaiter(arrival);
    if (!interceptedByOutage(exchange)) {
      sendReply(exchange, stream.read(fromOffset, maxRecords));
    }
  }

  private void sendReply(Exchange exchange, Object reply) {
    long slowMs = faults().slowMs();
    ScheduledThreadPoolExecutor scheduler = timer;
    if (slowMs > 0 && scheduler != null) {
      var unused = scheduler.schedule(() -> exchange.reply(reply), slowMs, MILLISECONDS);
    } else {
      exchange.reply(reply);
    }
  }

  private boolean consumeLostReply() {
    synchronized (faultsLock) {
      if (faults.loseReplies() == 0) {
        return false;
      }
      faults = new LogFaults(faults.outage(), faults.loseReplies() - 1, faults.slowMs());
      return true;
    }
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(
        name, key -> new LogStream(settings.retentionMs(), settings.retentionRecords()));
  }

  private static Thread newTimerThread(Runnable task) {
    Thread thread = new Thread(task, "log-timer");
    thread.setDaemon(true);
    return thread;
  }
}
