package org.hickorymoor.standins.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.LongAdder;

/** One direction of a link. Not thread-safe; used by the thread of {@link ProxyLoop} only. */
final class Pipe {

  static final long NEVER_MS = Long.MAX_VALUE;

  private static final int MAX_QUEUED_BYTES = 1024 * 1024;

  private final SocketChannel source;
  private final SocketChannel sink;
  private final LongAdder forwardedBytes;
  private final LongAdder lostBytes;
  private final ArrayDeque<Chunk> queue = new ArrayDeque<>();
  private int queuedBytes;
  private long lastDueMs = Long.MIN_VALUE;
  private boolean sourceEnded;
  private boolean sinkEnded;
  private boolean silent;
  private boolean blocked;

  private record Chunk(ByteBuffer bytes, long dueMs) {}

  Pipe(SocketChannel source, SocketChannel sink, LongAdder forwardedBytes, LongAdder lostBytes) {
    this.source = source;
    this.sink = sink;
    this.forwardedBytes = forwardedBytes;
    this.lostBytes = lostBytes;
  }

  /** Swallows from now on whatever comes, and never tells the sink of the end. */
  void silence() {
    silent = true;
    lostBytes.add(queuedBytes);
    queue.clear();
    queuedBytes = 0;
    blocked = false;
  }

  /** Reads once and queues what came until {@code dueMs}; returns the number of bytes read. */
  int read(ByteBuffer buffer, long dueMs) throws IOException {
    buffer.clear();
    int count = readSource(buffer);
    if (count < 0) {
      sourceEnded = true;
      return 0;
    }
    if (silent) {
      lostBytes.add(count);
    } else if (count > 0) {
      enqueue(buffer.flip(), Math.max(dueMs, lastDueMs));
    }
    return count;
  }

  /** Writes what is due. */
  void write(long nowMs) throws IOException {
    blocked = false;
    while (!queue.isEmpty() && queue.getFirst().dueMs() <= nowMs) {
      ByteBuffer bytes = queue.getFirst().bytes();
      int count = sink.write(bytes);
      forwardedBytes.add(count);
      queuedBytes -= count;
      if (bytes.hasRemaining()) {
        blocked = true;
        return;
      }
      queue.removeFirst();
    }
    endSink();
  }

  boolean wantsRead() {
    return !sourceEnded && queuedBytes < MAX_QUEUED_BYTES;
  }

  boolean wantsWrite() {
    return blocked;
  }

  /** Tells whether nothing more will ever be read or written. */
  boolean isFinished() {
    return silent ? sourceEnded : sinkEnded;
  }

  /** Returns when the first queued bytes are due, apart from those that the sink can't take. */
  long nextDueMs() {
    return queue.isEmpty() || blocked ? NEVER_MS : queue.getFirst().dueMs();
  }

  /**
   * Takes a broken source of a silent pipe for an ended one, so that the other side learns nothing.
   */
  private int readSource(ByteBuffer buffer) throws IOException {
    try {
      return source.read(buffer);
    } catch (IOException e) {
      if (silent) {
        return -1;
      }
      throw e;
    }
  }

  private void enqueue(ByteBuffer bytes, long dueMs) {
    ByteBuffer copy = ByteBuffer.allocate(bytes.remaining());
    copy.put(bytes).flip();
    queue.addLast(new Chunk(copy, dueMs));
    queuedBytes += copy.remaining();
    lastDueMs = dueMs;
  }

  private void endSink() throws IOException {
    if (sourceEnded && queue.isEmpty() && !sinkEnded && !silent) {
      sink.shutdownOutput();
      sinkEnded = true;
    }
  }
}
