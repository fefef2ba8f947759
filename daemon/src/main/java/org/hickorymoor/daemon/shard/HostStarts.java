package org.hickorymoor.daemon.shard;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedLogPort.Writer;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;

/**
 * Stores that the process of this host has started, and reads the starts of other hosts.
 *
 * <p>A host runs one process at a time, since a second one can't listen at its peer address. A
 * start therefore proves that the process before has ended and grants no more leases. Not
 * thread-safe; confined to the event loop thread.
 */
final class HostStarts {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval of the reads while a start may shorten a wait. */
  private static final long REFRESH_NS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final String SEPARATOR = "\n";

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final ShardSettings settings;
  private final HeartbeatHistory heartbeats;
  private long startedNs;
  private boolean announced;
  private boolean stopped;
  private boolean readInFlight;
  private long readNs;

  /** Creates the starts as seen by this host. */
  HostStarts(
      ShardEventLoop loop, KeyedLogPort log, ShardSettings settings, HeartbeatHistory heartbeats) {
    this.loop = loop;
    this.log = log;
    this.settings = settings;
    this.heartbeats = heartbeats;
    this.readNs = loop.nowNs() - REFRESH_NS;
  }

  /** Notes that this process has started and listens at its peer address. */
  void start() {
    startedNs = loop.nowNs();
  }

  /**
   * Stores the start of this process, once.
   *
   * @param newestEpoch newest epoch before this process claims any
   */
  void announce(long newestEpoch) {
    if (!announced) {
      announced = true;
      store(newestEpoch);
    }
  }

  void stop() {
    stopped = true;
  }

  /**
   * Stores the start under the newest epoch, so that the store refuses a late write of a former
   * process of this host, which would replace the record by one that proves less.
   */
  private void store(long newestEpoch) {
    if (stopped) {
      return;
    }
    long ageMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - startedNs);
    byte[] value = (newestEpoch + SEPARATOR + ageMs).getBytes(UTF_8);
    loop.then(
        log.append(
            KeyedStream.HOST_STARTS,
            List.of(new Entry(settings.hostId(), value)),
            new Writer(settings.hostId(), newestEpoch + 1, 0),
            KeyedLogPort.ANY_OFFSET,
            ShardSettings.STORE_TIMEOUT_MS),
        (offset, failure) -> {
          if (failure != null && failure.type() == PlatformException.Type.FENCED) {
            logger.atWarning().log(
                "hosts: A later process of this host has stored its start: %s",
                failure.getMessage());
          } else if (failure != null) {
            loop.schedule(ShardSettings.STORE_RETRY_MS, () -> store(newestEpoch));
          }
        });
  }

  /** Reads the starts of all hosts unless they have been read recently. */
  void refresh() {
    if (readInFlight || loop.nowNs() - readNs < REFRESH_NS) {
      return;
    }
    readInFlight = true;
    readNs = loop.nowNs();
    LatestRecordReader.read(
        loop,
        log,
        KeyedStream.HOST_STARTS,
        new LatestRecordReader.Handler() {
          @Override
          public boolean isClosed() {
            return stopped;
          }

          @Override
          public void onRecord(StoredRecord stored) {
            HostStarts.this.onRecord(stored);
          }

          @Override
          public void onComplete(long endOffset) {
            readInFlight = false;
          }
        });
  }

  private void onRecord(StoredRecord stored) {
    List<String> fields = List.of(new String(stored.value(), UTF_8).split(SEPARATOR, -1));
    try {
      long newestEpoch = Long.parseLong(fields.get(0));
      long ageMs = Math.max(0, Long.parseLong(fields.get(1)));
      heartbeats.onHostStarted(
          stored.key(), newestEpoch, loop.nowNs() - TimeUnit.MILLISECONDS.toNanos(ageMs));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      logger.atInfo().withCause(e).log(
          "hosts: Start of %s at offset %d is malformed, ignored.", stored.key(), stored.offset());
    }
  }
}
