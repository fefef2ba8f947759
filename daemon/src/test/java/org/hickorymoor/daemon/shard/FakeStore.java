package org.hickorymoor.daemon.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.PlatformException.Type;
import org.jspecify.annotations.Nullable;

/**
 * An in-memory store that can stop answering, refuse hosts, lose answers and execute writes late.
 */
final class FakeStore {

  /** An operation of the store, which fails with the exception that it throws. */
  private interface Operation<T> {
    T run() throws PlatformException;
  }

  private static final long DEFAULT_LATENCY_MS = 4;

  /** The platform recognizes repeats of the last five appends of a writer. */
  private static final int REMEMBERED_APPENDS = 5;

  private static final long MAX_EXECUTION_DELAY_MS = 5_000;

  /** The platform returns at most this many records on one page. */
  private static final int MAX_PAGE_RECORDS = 500;

  private static final class Stream {
    private final List<KeyedLogPort.StoredRecord> records = new ArrayList<>();
    private final TreeMap<String, KeyedLogPort.StoredRecord> newest = new TreeMap<>();
    private final Map<String, Long> epochs = new HashMap<>();
    private final Map<String, TreeMap<Long, Long>> offsetsBySequence = new HashMap<>();
    private final List<Runnable> waitingReads = new ArrayList<>();
    private long firstRetainedOffset;
    private long busyUntilMs;
  }

  private final VirtualTime time;
  private final Map<KeyedStream, Stream> streams = new EnumMap<>(KeyedStream.class);
  private final Set<String> refusedHosts = new HashSet<>();
  private boolean unresponsive;
  private boolean busy;
  private int appends;
  private long answerMs = DEFAULT_LATENCY_MS;
  private long serialAppendMs;
  private double lostAnswerShare;
  private double delayedShare;

  FakeStore(VirtualTime time) {
    this.time = time;
    for (KeyedStream stream : KeyedStream.values()) {
      streams.put(stream, new Stream());
    }
  }

  /** Returns the number of append calls. */
  int appends() {
    return appends;
  }

  /**
   * Sets how long each stream takes for one append; appends to a stream are processed one at a
   * time.
   */
  void serialAppendMs(long durationMs) {
    serialAppendMs = durationMs;
  }

  /** Sets the latency of every call. */
  void answerMs(long durationMs) {
    answerMs = durationMs;
  }

  void setUnresponsive(boolean on) {
    unresponsive = on;
  }

  /** Sets whether every call of all hosts is refused, as by a store that is overloaded. */
  void setBusy(boolean on) {
    busy = on;
  }

  void refuseHost(String host, boolean on) {
    if (on) {
      refusedHosts.add(host);
    } else {
      refusedHosts.remove(host);
    }
  }

  /**
   * Sets the share of writes whose answers are lost, and the share of those that are executed
   * seconds later.
   */
  void loseWriteAnswers(double share, double delayedShareOfLost) {
    lostAnswerShare = share;
    delayedShare = delayedShareOfLost;
  }

  /** Trims all streams; the newest record of each key is kept. */
  void compact() {
    streams.values().forEach(stream -> stream.firstRetainedOffset = stream.records.size());
  }

  void put(KeyedStream id, String key, byte[] value) {
    add(stream(id), new KeyedLogPort.Entry(key, value));
  }

  /** Returns the keys of the newest records of a stream. */
  List<String> keys(KeyedStream id) {
    return List.copyOf(stream(id).newest.keySet());
  }

  /** Returns the keys of the newest submissions and cancellations. */
  List<String> submissions() {
    return KeyedStream.submissionPartitions().stream()
        .flatMap(partition -> stream(partition).newest.keySet().stream())
        .toList();
  }

  private Stream stream(KeyedStream id) {
    return java.util.Objects.requireNonNull(streams.get(id));
  }

  private static void add(Stream stream, KeyedLogPort.Entry entry) {
    KeyedLogPort.StoredRecord stored =
        new KeyedLogPort.StoredRecord(stream.records.size(), entry.key(), entry.value());
    stream.records.add(stored);
    if (entry.value().length == 0) {
      stream.newest.remove(entry.key());
    } else {
      stream.newest.put(entry.key(), stored);
    }
    List<Runnable> readers = List.copyOf(stream.waitingReads);
    stream.waitingReads.clear();
    readers.forEach(Runnable::run);
  }

  /** Returns the store as seen by a host. */
  KeyedLogPort port(String host) {
    return new Port(host);
  }

  private final class Port implements KeyedLogPort {
    private final String host;

    Port(String host) {
      this.host = host;
    }

    private <T> CompletableFuture<T> call(boolean write, long timeoutMs, Operation<T> action) {
      return call(write, 0, timeoutMs, action);
    }

    private <T> CompletableFuture<T> call(
        boolean write, long queueingMs, long timeoutMs, Operation<T> action) {
      CompletableFuture<T> future = new CompletableFuture<>();
      time.after(
          timeoutMs,
          () ->
              future.completeExceptionally(
                  new PlatformException(Type.NO_RESPONSE, "no answer in " + timeoutMs + " ms")));
      time.after(
          answerMs + queueingMs,
          () -> {
            if (unresponsive) {
              return;
            }
            if (busy || refusedHosts.contains(host)) {
              future.completeExceptionally(new PlatformException(Type.REFUSED, "turned away"));
              return;
            }
            boolean lost = write && time.random().nextDouble() < lostAnswerShare;
            if (lost && time.random().nextDouble() < delayedShare) {
              time.after(
                  (long) (time.random().nextDouble() * MAX_EXECUTION_DELAY_MS),
                  () -> executeWithoutAnswer(action));
              return;
            }
            complete(lost ? new CompletableFuture<>() : future, action);
          });
      return future;
    }

    private static <T> void complete(CompletableFuture<T> future, Operation<T> action) {
      try {
        future.complete(action.run());
      } catch (PlatformException e) {
        future.completeExceptionally(e);
      }
    }

    private static <T> void executeWithoutAnswer(Operation<T> action) {
      complete(new CompletableFuture<>(), action);
    }

    @Override
    public CompletableFuture<Long> append(
        KeyedStream id,
        List<Entry> entries,
        @Nullable Writer writer,
        long expectedEnd,
        long timeoutMs) {
      appends++;
      Stream stream = stream(id);
      stream.busyUntilMs = Math.max(stream.busyUntilMs, time.nowMs()) + serialAppendMs;
      long queueingMs = stream.busyUntilMs - time.nowMs();
      return call(
          true, queueingMs, timeoutMs, () -> doAppend(stream, entries, writer, expectedEnd));
    }

    private static long doAppend(
        Stream stream, List<Entry> entries, @Nullable Writer writer, long expectedEnd)
        throws PlatformException {
      if (writer != null) {
        long epoch = stream.epochs.getOrDefault(writer.name(), 0L);
        if (writer.epoch() < epoch) {
          throw new PlatformException(Type.FENCED, "epoch is " + epoch);
        }
        if (writer.epoch() == epoch) {
          TreeMap<Long, Long> offsets = stream.offsetsBySequence.get(writer.name());
          if (offsets != null && offsets.size() > REMEMBERED_APPENDS) {
            offsets.pollFirstEntry();
          }
          Long previousOffset = offsets == null ? null : offsets.get(writer.sequence());
          if (previousOffset != null) {
            return previousOffset;
          }
          if (offsets != null && writer.sequence() != offsets.lastKey() + 1) {
            throw new PlatformException(Type.OUT_OF_ORDER, "sequence after " + offsets.lastKey());
          }
        }
      }
      if (expectedEnd != ANY_OFFSET && expectedEnd != stream.records.size()) {
        throw new PlatformException(Type.CONFLICT, "ends at " + stream.records.size());
      }
      long offset = stream.records.size();
      if (writer != null) {
        if (writer.epoch() > stream.epochs.getOrDefault(writer.name(), 0L)) {
          stream.epochs.put(writer.name(), writer.epoch());
          stream.offsetsBySequence.put(writer.name(), new TreeMap<>());
        }
        stream
            .offsetsBySequence
            .computeIfAbsent(writer.name(), name -> new TreeMap<>())
            .put(writer.sequence(), offset);
      }
      entries.forEach(entry -> add(stream, entry));
      return offset;
    }

    @Override
    public CompletableFuture<Chunk> read(
        KeyedStream id, long fromOffset, long waitMs, long timeoutMs) {
      Stream stream = stream(id);
      CompletableFuture<Chunk> future = new CompletableFuture<>();
      call(
              false,
              timeoutMs,
              () -> {
                if (fromOffset < stream.firstRetainedOffset) {
                  throw new PlatformException(
                      Type.TRIMMED, "starts at " + stream.firstRetainedOffset);
                }
                return stream;
              })
          .whenComplete(
              (found, failure) -> {
                if (failure != null) {
                  future.completeExceptionally(failure);
                  return;
                }
                Supplier<Chunk> chunk =
                    () ->
                        new Chunk(
                            stream.records.size(),
                            List.copyOf(
                                stream.records.subList(
                                    (int) Math.min(fromOffset, stream.records.size()),
                                    stream.records.size())));
                if (stream.records.size() > fromOffset || waitMs == 0) {
                  future.complete(chunk.get());
                  return;
                }
                Runnable deliver =
                    () -> {
                      if (!unresponsive && !busy && !refusedHosts.contains(host)) {
                        future.complete(chunk.get());
                      }
                    };
                stream.waitingReads.add(() -> time.after(1, deliver));
                time.after(waitMs, deliver);
                time.after(
                    timeoutMs,
                    () ->
                        future.completeExceptionally(
                            new PlatformException(Type.NO_RESPONSE, "silent")));
              });
      return future;
    }

    @Override
    public CompletableFuture<Page> readNewest(
        KeyedStream id, @Nullable String afterKey, long timeoutMs) {
      Stream stream = stream(id);
      return call(
          false,
          timeoutMs,
          () -> {
            Collection<KeyedLogPort.StoredRecord> rest =
                afterKey == null
                    ? stream.newest.values()
                    : stream.newest.tailMap(afterKey, false).values();
            return new Page(
                rest.stream().limit(MAX_PAGE_RECORDS).toList(),
                rest.size() > MAX_PAGE_RECORDS,
                stream.records.size());
          });
    }
  }
}
