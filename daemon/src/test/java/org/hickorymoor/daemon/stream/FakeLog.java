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

/** A log in memory whose appends and reads fail as told. Answers long polls at once. */
public final class FakeLog implements LogPort {

  /** What happens to one append. */
  public enum Fault {
    /** It succeeds. */
    NONE,
    /** It is refused. */
    REFUSED,
    /** It takes effect and the reply is lost. */
    REPLY_LOST,
    /** It takes effect, the reply is lost, and the log is out from then on. */
    REPLY_LOST_THEN_OUT,
    /** It does not take effect and no reply comes. */
    REQUEST_LOST,
    /** Its reply is held back until {@link #releaseHeld}. */
    HELD
  }

  private final Map<String, List<String>> streams = new HashMap<>();
  private final Map<String, Integer> startOffsets = new HashMap<>();
  private final Deque<Fault> appendFaults = new ArrayDeque<>();
  private final List<Runnable> held = new ArrayList<>();
  private Fault standingFault = Fault.NONE;
  private boolean out;

  /** Sets the faults of the next appends. */
  public synchronized void failAppends(Fault... faults) {
    appendFaults.addAll(List.of(faults));
  }

  /** Sets the fault of every append that has none of its own. */
  public synchronized void failEveryAppend(Fault fault) {
    standingFault = fault;
  }

  /** Takes the log out of service, or back. */
  public synchronized void setOut(boolean out) {
    this.out = out;
  }

  /** Answers the held appends. */
  public synchronized void releaseHeld() {
    held.forEach(Runnable::run);
    held.clear();
  }

  /** Drops the records before an offset. */
  public synchronized void retainFrom(String stream, int offset) {
    startOffsets.put(stream, offset);
  }

  /** Returns everything ever appended to a stream. */
  public synchronized List<String> records(String stream) {
    return List.copyOf(stream(stream));
  }

  @Override
  public synchronized CompletableFuture<Long> append(String stream, String data, long timeoutMs) {
    Fault fault = appendFaults.isEmpty() ? standingFault : appendFaults.removeFirst();
    if (out) {
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
    out = fault == Fault.REPLY_LOST_THEN_OUT;
    if (out || fault == Fault.REPLY_LOST) {
      return failure(PlatformException.Type.NO_RESPONSE);
    }
    CompletableFuture<Long> reply = new CompletableFuture<>();
    if (fault == Fault.HELD) {
      held.add(() -> reply.complete(offset));
    } else {
      reply.complete(offset);
    }
    return reply;
  }

  @Override
  public synchronized CompletableFuture<ReadReply> read(
      String stream, long fromOffset, int maxRecords, long waitMs, long timeoutMs) {
    if (out) {
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
    return CompletableFuture.failedFuture(new PlatformException(type, "as told"));
  }
}
