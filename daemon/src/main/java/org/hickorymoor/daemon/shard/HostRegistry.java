package org.hickorymoor.daemon.shard;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.jspecify.annotations.Nullable;

/** Registers this host in the store and lists the hosts of the cell. */
final class HostRegistry {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval at which the list of hosts is read; new hosts are rare. */
  private static final long REFRESH_MS = 2_000;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final ShardSettings settings;
  private volatile List<String> addresses;
  private volatile List<String> ranked;
  private boolean stopped;

  HostRegistry(ShardEventLoop loop, KeyedLogPort log, ShardSettings settings) {
    this.loop = loop;
    this.log = log;
    this.settings = settings;
    this.addresses = List.of(settings.peerAddress());
    this.ranked = addresses;
  }

  private Entry record() {
    return new Entry(settings.hostId(), settings.peerAddress().getBytes(UTF_8));
  }

  void start() {
    loop.execute(this::register);
  }

  /** Removes this host from the list. */
  void stop() {
    stopped = true;
    var unused = write(Entry.tombstone(settings.hostId()));
  }

  /** Returns the peer addresses of all hosts, including this one. */
  List<String> addresses() {
    return addresses;
  }

  /**
   * Returns the rank of this host among all hosts by address; it changes as hosts join and leave.
   */
  int rank() {
    return Math.max(0, ranked.indexOf(settings.peerAddress()));
  }

  /**
   * Returns the peer address of the first host whose rank differs from this host's by a multiple of
   * a number of groups; null if that is this host.
   */
  @Nullable String firstOfGroup(int groups) {
    List<String> snapshot = ranked;
    int rank = snapshot.indexOf(settings.peerAddress());
    return rank < groups ? null : snapshot.get(rank % groups);
  }

  private void register() {
    if (stopped) {
      return;
    }
    loop.then(
        write(record()),
        (offset, failure) -> {
          if (failure == null) {
            logger.atInfo().log("hosts: Registered as %s.", settings.peerAddress());
            refresh();
          } else {
            loop.schedule(ShardSettings.STORE_RETRY_MS, this::register);
          }
        });
  }

  private CompletableFuture<Long> write(Entry entry) {
    return log.append(
        KeyedStream.HOSTS,
        List.of(entry),
        null,
        KeyedLogPort.ANY_OFFSET,
        ShardSettings.STORE_TIMEOUT_MS);
  }

  private void refresh() {
    if (stopped) {
      return;
    }
    loop.then(
        log.readNewest(KeyedStream.HOSTS, null, ShardSettings.STORE_TIMEOUT_MS),
        (page, failure) -> {
          if (page != null) {
            addresses = page.records().stream().map(HostRegistry::address).distinct().toList();
            ranked = addresses.stream().sorted().toList();
          }
          loop.schedule(REFRESH_MS, this::refresh);
        });
  }

  private static String address(StoredRecord stored) {
    return new String(stored.value(), UTF_8);
  }
}
