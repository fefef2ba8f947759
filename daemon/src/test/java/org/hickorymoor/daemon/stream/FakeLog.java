package org.hickorymoor.daemon.stream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.LogPort;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.protocol.platform.LogRecord;
import org.hickorymoor.protocol.platform.ReadReply;

/** In-memory log with injectable faults. Replies to long polls immediately. */
public final class FakeLog implements LogPort {

  /** Fault of one append. */
  public enum Fault {
    /** The append succeeds. */
    NONE,
    /** The append is refused. */
    REFUSED,
    /** The append takes effect, but the reply is lost. */
    REPLY_LOST,
    /** The append takes effect, the reply is lost, and the log becomes unavailable. */
    REPLY_LOST_THEN_UNAVAILABLE,
    /** The append does not take effect and there is no reply. */
    REQUEST_LOST,
    /** The append takes effect; the reply is delayed until {@link #completeDelayedAppends}. */
    REPLY_DELAYED
  }

  private final Map<String, List<String>> streams = new HashMap<>();
  private final Map<String, Integer> startOffsets = new HashMap<>();
  private final Deque<Fault> appendFaults = new ArrayDeque<>();
  private final List<Runnable> delayedReplies = new ArrayList<>();
  private Fault defaultFault = Fault.NONE;
  private boolean unavailable;

  /** Injects faults into the next appends, one each. */
  public synchronized void failAppends(Fault... faults) {
    appendFaults.addAll(List.of(faults));
  }

  /** Sets the fault of every append without an injected one. */
  public synchronized void setDefaultFault(Fault fault) {
    defaultFault = fault;
  }

  /** Makes the log unavailable, or available again. */
  public synchronized void setUnavailable(boolean unavailable) {
    this.unavailable = unavailable;
  }

  /** Sends the delayed replies. */
  public synchronized void completeDelayedAppends() {
    delayedReplies.forEach(Runnable::run);
    delayedReplies.clear();
  }

  /** Simulates retention by dropping the records before an offset. */
  public synchronized void dropBefore(String stream, int offset) {
    startOffsets.put(stream, offset);
  }

  /** Returns all records appended to a stream, including dropped ones. */
  public synchronized List<String> records(String stream) {
    return List.copyOf(stream(stream));
  }

  @Override
  public synchronized CompletableFuture<Long> append(String stream, String data, long timeoutMs) {
    Fault fault = appendFaults.isEmpty() ? defaultFault : appendFaults.removeFirst();
    if (unavailable) {
      return failure(PlatformException.Type.UNREACHABLE);
    }
    if (fault == Fault.REFUSED) {
      return failure(PlatformException.Type.REFUSED);
    }
    if (fault == Fault.REQUEST_LOST) {
      return failure(PlatformException.Type.NO_RESPONSE);
    }
    stream(stream).add(data);
    long offset = stream(stream).size() - 1L;
    unavailable = fault == Fault.REPLY_LOST_THEN_UNAVAILABLE;
    if (unavailable || fault == Fault.REPLY_LOST) {
      return failure(PlatformException.Type.NO_RESPONSE);
    }
    CompletableFuture<Long> reply = new CompletableFuture<>();
    if (fault == Fault.REPLY_DELAYED) {
      delayedReplies.add(() -> reply.complete(offset));
    } else {
      reply.complete(offset);
    }
    return reply;
  }

  @Override
  public synchronized CompletableFuture<ReadReply> read(
      String stream, long fromOffset, int maxRecords, long waitMs, long timeoutMs) {
    if (unavailable) {
      return failure(PlatformException.Type.UNREACHABLE);
    }
    List<String> all = stream(stream);
    int start = startOffsets.getOrDefault(stream, 0);
    List<LogRecord> records = new ArrayList<>();
    for (int i = (int) Math.max(start, fromOffset); i < all.size(); i++) {
      if (records.size() < maxRecords) {
        records.add(new LogRecord(i, all.get(i)));
      }
    }
    return CompletableFuture.completedFuture(new ReadReply(start, all.size(), records));
  }

  private List<String> stream(String name) {
    return streams.computeIfAbsent(name, unused -> new ArrayList<>());
  }

  private static <T> CompletableFuture<T> failure(PlatformException.Type type) {
    return CompletableFuture.failedFuture(new PlatformException(type, "injected fault"));
  }
}
