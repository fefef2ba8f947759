package org.hickorymoor.daemon.shard;

import com.google.common.base.Ascii;
import com.google.common.flogger.FluentLogger;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.WorkerRecordDecoder;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.jspecify.annotations.Nullable;

/**
 * Follows the list of workers in the store. The listener receives the workers in the order of their
 * records, so that a scheduler calls them in the same order each time. Not thread-safe; confined to
 * the event loop thread.
 */
final class WorkerCatalog {

  /** Receives the list of workers after every change. */
  @FunctionalInterface
  interface Listener {

    /**
     * Called after a change.
     *
     * @param listed the listed workers
     * @param departed IDs of the workers that have removed their entries since the last call; the
     *     entries of others that are missing have expired
     */
    void onChange(Map<String, WorkerDescriptor> listed, Set<String> departed);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Well below the time within which a draining worker must stop receiving new runs. */
  private static final long POLL_INTERVAL_MS = 500;

  private static final int MAX_REASON_LENGTH = 400;

  private final ShardEventLoop loop;
  private final KeyedLogPort log;
  private final WorkerRecordDecoder decoder;
  private final Map<String, WorkerDescriptor> listed = new LinkedHashMap<>();

  /** Keys of the records that describe no usable worker; each is named once in the log. */
  private final Set<String> unusable = new HashSet<>();

  private final Set<String> departed = new HashSet<>();
  private final DepartureDetector departures;
  private Listener listener = (workers, departedIds) -> {};
  private long nextOffset;
  private boolean closed;
  private boolean storeUnavailable;

  /**
   * Creates a catalog; {@link #start} begins to read the list.
   *
   * @param heartbeatMs interval at which workers write their entries
   */
  WorkerCatalog(
      ShardEventLoop loop, KeyedLogPort log, WorkerRecordDecoder decoder, long heartbeatMs) {
    this.loop = loop;
    this.log = log;
    this.decoder = decoder;
    this.departures = new DepartureDetector(loop, heartbeatMs);
  }

  /** Reads the list and passes it to the listener after every change. */
  void start(Listener onChange) {
    listener = onChange;
    load();
  }

  void close() {
    closed = true;
  }

  private void load() {
    Map<String, WorkerDescriptor> loading = new LinkedHashMap<>();
    unusable.clear();
    departures.onInterrupted();
    final DepartureDetector.Moment requestedAt = departures.now();
    LatestRecordReader.read(
        loop,
        log,
        KeyedStream.WORKERS,
        new LatestRecordReader.Handler() {
          @Override
          public boolean isClosed() {
            return closed;
          }

          @Override
          public void onResponse(@Nullable PlatformException failure) {
            trackStoreState(failure);
          }

          @Override
          public void onRecord(StoredRecord stored) {
            apply(loading, stored);
          }

          @Override
          public void onComplete(long endOffset) {
            nextOffset = endOffset;
            departures.onUpToDate(requestedAt);
            listed.clear();
            listed.putAll(loading);
            notifyListener();
            loop.schedule(POLL_INTERVAL_MS, WorkerCatalog.this::poll);
          }
        });
  }

  private void poll() {
    if (closed) {
      return;
    }
    final DepartureDetector.Moment requestedAt = departures.now();
    loop.then(
        log.read(KeyedStream.WORKERS, nextOffset, 0, ShardSettings.STORE_TIMEOUT_MS),
        (chunk, failure) -> {
          if (failure != null && failure.type() == PlatformException.Type.TRIMMED) {
            load();
            return;
          }
          trackStoreState(failure);
          if (chunk != null) {
            for (StoredRecord stored : chunk.records()) {
              apply(listed, stored);
              nextOffset = stored.offset() + 1;
            }
            if (nextOffset >= chunk.endOffset()) {
              departures.onUpToDate(requestedAt);
            }
            if (!chunk.records().isEmpty() && !closed) {
              notifyListener();
            }
          }
          loop.schedule(POLL_INTERVAL_MS, this::poll);
        });
  }

  private void notifyListener() {
    Map<String, WorkerDescriptor> snapshot =
        Collections.unmodifiableMap(new LinkedHashMap<>(listed));
    Set<String> departedIds = Set.copyOf(departed);
    departed.clear();
    ShardEventLoop.runIsolated(
        () -> listener.onChange(snapshot, departedIds), "a change of the list of workers");
  }

  private void apply(Map<String, WorkerDescriptor> workers, StoredRecord stored) {
    WorkerDescriptor descriptor = decode(stored);
    WorkerDescriptor previous =
        descriptor == null ? workers.remove(stored.key()) : workers.put(stored.key(), descriptor);
    if (descriptor != null) {
      departures.onHeartbeat(stored.key());
      departed.remove(stored.key());
    }
    if (descriptor == null && previous != null) {
      boolean removedItself = stored.isTombstone() && departures.onRemoved(stored.key());
      if (removedItself) {
        departed.add(stored.key());
      }
      logger.atInfo().log(
          "workers: %s removed from the list, %s, offset %d.",
          stored.key(),
          removedItself ? "before its entry could expire" : "perhaps expired",
          stored.offset());
    } else if (descriptor != null
        && (previous == null || previous.draining() != descriptor.draining())) {
      logger.atInfo().log(
          "workers: %s of service %s listed at %s%s, offset %d.",
          descriptor.id(),
          descriptor.service(),
          descriptor.address(),
          descriptor.draining() ? ", draining" : "",
          stored.offset());
    }
  }

  /**
   * Returns the worker that a record describes, or null if it describes no usable worker. Others
   * may write records here, and one of them must not keep later ones from being read.
   */
  private @Nullable WorkerDescriptor decode(StoredRecord stored) {
    if (stored.isTombstone()) {
      unusable.remove(stored.key());
      return null;
    }
    try {
      WorkerDescriptor descriptor = decoder.decode(stored.key(), stored.value());
      unusable.remove(stored.key());
      return descriptor;
    } catch (PlatformException | RuntimeException e) {
      if (unusable.add(stored.key())) {
        logger.atInfo().log(
            "workers: Ignoring record %s, which describes no usable worker, offset %d: %s.",
            stored.key(), stored.offset(), Ascii.truncate(e.toString(), MAX_REASON_LENGTH, "..."));
      }
      return null;
    }
  }

  private void trackStoreState(@Nullable PlatformException failure) {
    if (failure != null) {
      departures.onInterrupted();
    }
    if (storeUnavailable != (failure != null)) {
      storeUnavailable = failure != null;
      logger.atInfo().log(
          "workers: Store %s.",
          failure == null ? "answers again" : "does not answer: " + failure.getMessage());
    }
  }
}
