package org.hickorymoor.standins.proxy;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.function.LongUnaryOperator;

/**
 * A client's connection and the one made for it to the target.
 *
 * <p>Not thread-safe; used by the thread of {@link ProxyLoop} only.
 */
final class Link {

  private final SocketChannel client;
  private final SocketChannel target;
  private final SelectionKey clientKey;
  private final SelectionKey targetKey;
  private final Pipe toTarget;
  private final Pipe toClient;
  private boolean silent;

  Link(SocketChannel client, SocketChannel target, Selector selector, ByteCounters counters)
      throws IOException {
    this.client = client;
    this.target = target;
    this.toTarget = new Pipe(client, target, counters.toTarget(), counters.lost());
    this.toClient = new Pipe(target, client, counters.toClient(), counters.lost());
    this.clientKey = client.register(selector, 0, this);
    this.targetKey = target.register(selector, SelectionKey.OP_CONNECT, this);
  }

  /** Swallows from now on whatever comes from either side. */
  void silence() {
    silent = true;
    toTarget.silence();
    toClient.silence();
  }

  /** Does what the selector found possible. */
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
      toClient.silence();
    }
    int count = toClient.read(buffer, dueMs.applyAsLong(faults.delayToClientMs()));
    if (count > 0 && faults.replies() == ProxyFaults.Replies.CLOSE && !silent) {
      close();
    }
  }

  /** Writes what is due, and closes a link on which nothing more can come. */
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

  /** Tells the selector what to wait for. */
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

  /** Closes with a reset on both sides. */
  void reset() {
    resetQuietly(client);
    resetQuietly(target);
  }

  static void resetQuietly(SocketChannel channel) {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      // A channel that can't take the option is broken already.
    }
    closeQuietly(channel);
  }

  static void closeQuietly(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to do for a channel that is given up.
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
