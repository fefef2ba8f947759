package org.hickorymoor.standins.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.LongAdder;

/**
 * One direction of a proxied connection. Not thread-safe; used only by the thread of {@link
 * ProxyLoop}.
 */
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
  private boolean sinkShutDown;
  private boolean blackholed;
  private boolean blocked;

  private record Chunk(ByteBuffer bytes, long dueMs) {}

  Pipe(SocketChannel source, SocketChannel sink, LongAdder forwardedBytes, LongAdder lostBytes) {
    this.source = source;
    this.sink = sink;
    this.forwardedBytes = forwardedBytes;
    this.lostBytes = lostBytes;
  }

  /** Discards queued and further data; the end of input is not propagated to the sink. */
  void blackhole() {
    blackholed = true;
    lostBytes.add(queuedBytes);
    queue.clear();
    queuedBytes = 0;
    blocked = false;
  }

  /** Reads once and queues the data until {@code dueMs}; returns the number of bytes read. */
  int read(ByteBuffer buffer, long dueMs) throws IOException {
    buffer.clear();
    int count = readSource(buffer);
    if (count < 0) {
      sourceEnded = true;
      return 0;
    }
    if (blackholed) {
      lostBytes.add(count);
    } else if (count > 0) {
      enqueue(buffer.flip(), Math.max(dueMs, lastDueMs));
    }
    return count;
  }

  /** Writes the queued data that is due. */
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
    shutDownSink();
  }

  boolean wantsRead() {
    return !sourceEnded && queuedBytes < MAX_QUEUED_BYTES;
  }

  boolean wantsWrite() {
    return blocked;
  }

  /** Returns whether this direction has ended. */
  boolean isFinished() {
    return blackholed ? sourceEnded : sinkShutDown;
  }

  /** Returns when the first queued bytes are due; never while the sink is not writable. */
  long nextDueMs() {
    return queue.isEmpty() || blocked ? NEVER_MS : queue.getFirst().dueMs();
  }

  /**
   * Reads the source; treats a read failure of a blackholed pipe as end of input, so that the other
   * side does not notice it.
   */
  private int readSource(ByteBuffer buffer) throws IOException {
    try {
      return source.read(buffer);
    } catch (IOException e) {
      if (blackholed) {
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

  private void shutDownSink() throws IOException {
    if (sourceEnded && queue.isEmpty() && !sinkShutDown && !blackholed) {
      sink.shutdownOutput();
      sinkShutDown = true;
    }
  }
}
