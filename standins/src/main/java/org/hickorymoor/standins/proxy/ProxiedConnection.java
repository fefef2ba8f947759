package org.hickorymoor.standins.proxy;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.function.LongUnaryOperator;

/**
 * A client connection and the corresponding connection to the target.
 *
 * <p>Not thread-safe; used only by the thread of {@link ProxyLoop}.
 */
final class ProxiedConnection {

  private final SocketChannel client;
  private final SocketChannel target;
  private final SelectionKey clientKey;
  private final SelectionKey targetKey;
  private final Pipe toTarget;
  private final Pipe toClient;
  private boolean blackholed;

  ProxiedConnection(
      SocketChannel client, SocketChannel target, Selector selector, ByteCounters counters)
      throws IOException {
    this.client = client;
    this.target = target;
    this.toTarget = new Pipe(client, target, counters.toTarget(), counters.lost());
    this.toClient = new Pipe(target, client, counters.toClient(), counters.lost());
    this.clientKey = client.register(selector, 0, this);
    this.targetKey = target.register(selector, SelectionKey.OP_CONNECT, this);
  }

  /** Discards all further data from both sides. */
  void blackhole() {
    blackholed = true;
    toTarget.blackhole();
    toClient.blackhole();
  }

  /** Handles the operations that the selector reported ready. */
  void process(ProxyFaults faults, LongUnaryOperator dueMs, ByteBuffer buffer) throws IOException {
    if (isReady(targetKey, SelectionKey.OP_CONNECT)) {
      target.finishConnect();
    }
    if (isReady(clientKey, SelectionKey.OP_READ)) {
      toTarget.read(buffer, dueMs.applyAsLong(faults.delayToTargetMs()));
    }
    if (isReady(targetKey, SelectionKey.OP_READ)) {
      readReply(faults, dueMs, buffer);
    }
  }

  private void readReply(ProxyFaults faults, LongUnaryOperator dueMs, ByteBuffer buffer)
      throws IOException {
    if (faults.replies() != ProxyFaults.Replies.PASS) {
      toClient.blackhole();
    }
    int count = toClient.read(buffer, dueMs.applyAsLong(faults.delayToClientMs()));
    if (count > 0 && faults.replies() == ProxyFaults.Replies.CLOSE && !blackholed) {
      close();
    }
  }

  /** Writes due data, and closes the connection if both directions have ended. */
  void flush(long nowMs) throws IOException {
    if (!isOpen() || !target.isConnected()) {
      return;
    }
    toTarget.write(nowMs);
    toClient.write(nowMs);
    if (toTarget.isFinished() && toClient.isFinished()) {
      close();
    }
  }

  /** Updates the interest set of both keys. */
  void updateInterest(boolean frozen) {
    if (!isOpen()) {
      return;
    }
    if (frozen) {
      clientKey.interestOps(0);
      targetKey.interestOps(0);
    } else if (!target.isConnected()) {
      targetKey.interestOps(SelectionKey.OP_CONNECT);
    } else {
      clientKey.interestOps(interest(toTarget, toClient));
      targetKey.interestOps(interest(toClient, toTarget));
    }
  }

  long nextDueMs() {
    return target.isConnected()
        ? Math.min(toTarget.nextDueMs(), toClient.nextDueMs())
        : Pipe.NEVER_MS;
  }

  boolean isOpen() {
    return client.isOpen() && target.isOpen();
  }

  void close() {
    closeQuietly(client);
    closeQuietly(target);
  }

  /** Resets both connections. */
  void reset() {
    resetQuietly(client);
    resetQuietly(target);
  }

  static void resetQuietly(SocketChannel channel) {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      // Setting the option fails only on a channel that is already broken.
    }
    closeQuietly(channel);
  }

  static void closeQuietly(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // Ignored: the channel is abandoned.
    }
  }

  private static boolean isReady(SelectionKey key, int operation) {
    return key.isValid() && (key.readyOps() & operation) != 0;
  }

  private static int interest(Pipe from, Pipe to) {
    int read = from.wantsRead() ? SelectionKey.OP_READ : 0;
    int write = to.wantsWrite() ? SelectionKey.OP_WRITE : 0;
    return read | write;
  }
}
