package org.hickorymoor.daemon.shard;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.Entry;
import org.hickorymoor.daemon.port.KeyedLogPort.Page;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * Registers this host in the store and lists the hosts of the cell.
 *
 * <p>The store may execute an unanswered write seconds later, when the next process of the host has
 * registered. A removal therefore takes effect only if no host has registered since, and a running
 * host restores its entry if it is missing.
 */
final class HostRegistry {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval at which the list of hosts is read; new hosts are rare. */
  private static final long REFRESH_MS = 2_000;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final ShardSettings settings;

  /** The sorted peer addresses of the hosts that were listed last, including this one. */
  private volatile List<String> addresses;

  /** Offset after the newest record of the stream that this host knows of. */
  private long endOffset;

  private boolean stopped;

  HostRegistry(ShardEventLoop loop, KeyedLogPort log, ShardSettings settings) {
    this.loop = loop;
    this.log = log;
    this.settings = settings;
    this.addresses = List.of(settings.peerAddress());
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
    removeEntry();
  }

  /** Returns the peer addresses of all hosts, including this one. */
  List<String> addresses() {
    return addresses;
  }

  /**
   * Returns the rank of this host among all hosts by address; it changes as hosts join and leave.
   */
  int rank() {
    return addresses.indexOf(settings.peerAddress());
  }

  /**
   * Returns the peer address of the first host whose rank differs from this host's by a multiple of
   * a number of groups; null if that is this host.
   */
  @Nullable String firstOfGroup(int groups) {
    List<String> snapshot = addresses;
    int rank = snapshot.indexOf(settings.peerAddress());
    return rank < groups ? null : snapshot.get(rank % groups);
  }

  private void register() {
    if (stopped) {
      return;
    }
    loop.then(
        write(record(), KeyedLogPort.ANY_OFFSET),
        (offset, failure) -> {
          if (offset != null) {
            endOffset = Math.max(endOffset, offset + 1);
            logger.atInfo().log("hosts: Registered as %s.", settings.peerAddress());
            refresh();
          } else {
            loop.schedule(ShardSettings.STORE_RETRY_MS, this::register);
          }
        });
  }

  private void removeEntry() {
    loop.then(
        write(Entry.tombstone(settings.hostId()), endOffset),
        (offset, failure) -> {
          if (failure != null && failure.type() == PlatformException.Type.CONFLICT) {
            readEndAndRemoveEntry();
          } else if (failure != null) {
            logger.atInfo().log("hosts: Removing the entry failed: %s", failure.getMessage());
          }
        });
  }

  private void readEndAndRemoveEntry() {
    loop.then(
        readPage(null),
        (page, failure) -> {
          if (page != null) {
            endOffset = page.endOffset();
            removeEntry();
          } else {
            loop.schedule(ShardSettings.STORE_RETRY_MS, this::readEndAndRemoveEntry);
          }
        });
  }

  private CompletableFuture<Long> write(Entry entry, long expectedEnd) {
    return log.append(
        KeyedStream.HOSTS, List.of(entry), null, expectedEnd, ShardSettings.STORE_TIMEOUT_MS);
  }

  private CompletableFuture<Page> readPage(@Nullable String afterKey) {
    return log.readNewest(KeyedStream.HOSTS, afterKey, ShardSettings.STORE_TIMEOUT_MS);
  }

  private void refresh() {
    refreshFrom(null, new LinkedHashMap<>());
  }

  /** Reads the pages after a key; keeps the former list if one of them isn't answered. */
  private void refreshFrom(@Nullable String afterKey, Map<String, String> addressesByHost) {
    if (stopped) {
      return;
    }
    loop.then(
        readPage(afterKey),
        (page, failure) -> {
          if (page == null) {
            loop.schedule(REFRESH_MS, this::refresh);
            return;
          }
          List<StoredRecord> records = page.records();
          records.forEach(
              stored -> addressesByHost.put(stored.key(), new String(stored.value(), UTF_8)));
          endOffset = Math.max(endOffset, page.endOffset());
          if (page.hasMore() && !records.isEmpty()) {
            refreshFrom(records.get(records.size() - 1).key(), addressesByHost);
          } else {
            onListed(addressesByHost);
          }
        });
  }

  private void onListed(Map<String, String> addressesByHost) {
    TreeSet<String> listed = new TreeSet<>(addressesByHost.values());
    listed.add(settings.peerAddress());
    addresses = List.copyOf(listed);
    String ownEntry = addressesByHost.get(settings.hostId());
    if (settings.peerAddress().equals(ownEntry)) {
      loop.schedule(REFRESH_MS, this::refresh);
    } else {
      logger.atWarning().log(
          "hosts: The entry of this host is %s, expected %s; registering again.",
          ownEntry == null ? "missing" : ownEntry, settings.peerAddress());
      register();
    }
  }
}
