package org.hickorymoor.daemon.shard;

import java.util.ArrayList;
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

/** A store in memory that can be silent, refuse hosts, lose answers and execute late. */
final class FakeStore {

  /** A result or a refusal. */
  private interface Action<T> {
    T run() throws PlatformException;
  }

  private static final long USUAL_ANSWER_MS = 4;

  /** The platform recognises repeats of the last five appends of a writer. */
  private static final int REPEATS_KNOWN = 5;

  private static final long LATE_MAX_MS = 5_000;

  private static final class Part {
    private final List<KeyedLogPort.StoredRecord> records = new ArrayList<>();
    private final Map<String, KeyedLogPort.StoredRecord> newest = new TreeMap<>();
    private final Map<String, Long> epochs = new HashMap<>();
    private final Map<String, TreeMap<Long, Long>> answers = new HashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long firstKept;
    private long busyUntilMs;
  }

  private final VirtualTime time;
  private final Map<KeyedStream, Part> parts = new EnumMap<>(KeyedStream.class);
  private final Set<String> turnedAway = new HashSet<>();
  private boolean silent;
  private int appends;
  private long answerMs = USUAL_ANSWER_MS;
  private long appendMs;
  private double lostShare;
  private double lateShare;

  FakeStore(VirtualTime time) {
    this.time = time;
    for (KeyedStream part : KeyedStream.values()) {
      parts.put(part, new Part());
    }
  }

  /** Returns how many appends were sent. */
  int appends() {
    return appends;
  }

  /** Makes each part take this long for one append after the other. */
  void appendMs(long takesMs) {
    appendMs = takesMs;
  }

  /** Makes each call take this long. */
  void answerMs(long takesMs) {
    answerMs = takesMs;
  }

  void silent(boolean on) {
    silent = on;
  }

  void turnAway(String host, boolean on) {
    if (on) {
      turnedAway.add(host);
    } else {
      turnedAway.remove(host);
    }
  }

  /** Loses this share of the answers of writes; of these, a share is executed seconds later. */
  void loseAnswers(double share, double lateOfThese) {
    lostShare = share;
    lateShare = lateOfThese;
  }

  /** Forgets the history; the newest record of each key stays. */
  void compact() {
    parts.values().forEach(part -> part.firstKept = part.records.size());
  }

  void put(KeyedStream where, String key, byte[] value) {
    add(part(where), new KeyedLogPort.Entry(key, value));
  }

  /** Returns the keys of all records of a part that are kept. */
  List<String> keys(KeyedStream where) {
    return List.copyOf(part(where).newest.keySet());
  }

  /** Returns the keys of all submissions and cancellations that are kept. */
  List<String> submissions() {
    return KeyedStream.submissionPartitions().stream()
        .flatMap(lane -> part(lane).newest.keySet().stream())
        .toList();
  }

  private Part part(KeyedStream where) {
    return java.util.Objects.requireNonNull(parts.get(where));
  }

  private static void add(Part part, KeyedLogPort.Entry entry) {
    KeyedLogPort.StoredRecord stored =
        new KeyedLogPort.StoredRecord(part.records.size(), entry.key(), entry.value());
    part.records.add(stored);
    if (entry.value().length == 0) {
      part.newest.remove(entry.key());
    } else {
      part.newest.put(entry.key(), stored);
    }
    List<Runnable> woken = List.copyOf(part.waiting);
    part.waiting.clear();
    woken.forEach(Runnable::run);
  }

  /** Returns the store as one host reaches it. */
  KeyedLogPort port(String host) {
    return new Port(host);
  }

  private final class Port implements KeyedLogPort {
    private final String host;

    Port(String host) {
      this.host = host;
    }

    private <T> CompletableFuture<T> call(boolean write, long timeoutMs, Action<T> action) {
      return call(write, 0, timeoutMs, action);
    }

    private <T> CompletableFuture<T> call(
        boolean write, long turnMs, long timeoutMs, Action<T> action) {
      CompletableFuture<T> future = new CompletableFuture<>();
      time.after(
          timeoutMs,
          () ->
              future.completeExceptionally(
                  new PlatformException(Type.NO_RESPONSE, "no answer in " + timeoutMs + " ms")));
      time.after(
          answerMs + turnMs,
          () -> {
            if (silent) {
              return;
            }
            if (turnedAway.contains(host)) {
              future.completeExceptionally(new PlatformException(Type.REFUSED, "turned away"));
              return;
            }
            boolean lost = write && time.random().nextDouble() < lostShare;
            if (lost && time.random().nextDouble() < lateShare) {
              time.after(
                  (long) (time.random().nextDouble() * LATE_MAX_MS), () -> runQuietly(action));
              return;
            }
            complete(lost ? new CompletableFuture<>() : future, action);
          });
      return future;
    }

    private static <T> void complete(CompletableFuture<T> future, Action<T> action) {
      try {
        future.complete(action.run());
      } catch (PlatformException e) {
        future.completeExceptionally(e);
      }
    }

    private static <T> void runQuietly(Action<T> action) {
      complete(new CompletableFuture<>(), action);
    }

    @Override
    public CompletableFuture<Long> append(
        KeyedStream where,
        List<Entry> entries,
        @Nullable Writer writer,
        long expectedEnd,
        long timeoutMs) {
      appends++;
      Part part = part(where);
      part.busyUntilMs = Math.max(part.busyUntilMs, time.nowMs()) + appendMs;
      long turnMs = part.busyUntilMs - time.nowMs();
      return call(true, turnMs, timeoutMs, () -> doAppend(part, entries, writer, expectedEnd));
    }

    private static long doAppend(
        Part part, List<Entry> entries, @Nullable Writer writer, long expectedEnd)
        throws PlatformException {
      if (writer != null) {
        long epoch = part.epochs.getOrDefault(writer.name(), 0L);
        if (writer.epoch() < epoch) {
          throw new PlatformException(Type.FENCED, "epoch is " + epoch);
        }
        if (writer.epoch() == epoch) {
          TreeMap<Long, Long> answered = part.answers.get(writer.name());
          if (answered != null && answered.size() > REPEATS_KNOWN) {
            answered.pollFirstEntry();
          }
          Long before = answered == null ? null : answered.get(writer.sequence());
          if (before != null) {
            return before;
          }
          if (answered != null && writer.sequence() != answered.lastKey() + 1) {
            throw new PlatformException(Type.OUT_OF_ORDER, "sequence after " + answered.lastKey());
          }
        }
      }
      if (expectedEnd != ANY_OFFSET && expectedEnd != part.records.size()) {
        throw new PlatformException(Type.CONFLICT, "ends at " + part.records.size());
      }
      long offset = part.records.size();
      if (writer != null) {
        if (writer.epoch() > part.epochs.getOrDefault(writer.name(), 0L)) {
          part.epochs.put(writer.name(), writer.epoch());
          part.answers.put(writer.name(), new TreeMap<>());
        }
        part.answers
            .computeIfAbsent(writer.name(), name -> new TreeMap<>())
            .put(writer.sequence(), offset);
      }
      entries.forEach(entry -> add(part, entry));
      return offset;
    }

    @Override
    public CompletableFuture<Chunk> read(
        KeyedStream where, long fromOffset, long waitMs, long timeoutMs) {
      Part part = part(where);
      CompletableFuture<Chunk> future = new CompletableFuture<>();
      call(
              false,
              timeoutMs,
              () -> {
                if (fromOffset < part.firstKept) {
                  throw new PlatformException(Type.TRIMMED, "starts at " + part.firstKept);
                }
                return part;
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
                            part.records.size(),
                            List.copyOf(
                                part.records.subList(
                                    (int) Math.min(fromOffset, part.records.size()),
                                    part.records.size())));
                if (part.records.size() > fromOffset || waitMs == 0) {
                  future.complete(chunk.get());
                  return;
                }
                Runnable deliver =
                    () -> {
                      if (!silent && !turnedAway.contains(host)) {
                        future.complete(chunk.get());
                      }
                    };
                part.waiting.add(() -> time.after(1, deliver));
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
        KeyedStream where, @Nullable String afterKey, long timeoutMs) {
      Part part = part(where);
      return call(
          false,
          timeoutMs,
          () -> new Page(List.copyOf(part.newest.values()), false, part.records.size()));
    }
  }
}
