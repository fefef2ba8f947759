package org.hickorymoor.daemon.peer;

import com.codahale.metrics.Counter;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.peer.PeerMetrics.Direction;
import org.hickorymoor.daemon.peer.PeerMetrics.Event;
import org.jspecify.annotations.Nullable;

/**
 * A TCP connection to a peer, used by both client and server. Sends and receives frames, exchanges
 * heartbeats and enforces the outbound limits.
 *
 * <p>Confined to the event loop's thread.
 */
final class Connection {

  /** Receives frames and the close event. */
  interface Listener {
    /** Handles a frame other than hello and heartbeat, which the connection handles itself. */
    void onFrame(Frame frame) throws FrameException;

    /** Called once, after the connection has closed. */
    void onClosed(String cause);
  }

  /** An encoded frame that is queued or being written. */
  static final class Outbound {
    private final ByteBuffer bytes;
    private final Purpose purpose;
    private boolean sent;

    private Outbound(ByteBuffer bytes, Purpose purpose) {
      this.bytes = bytes;
      this.purpose = purpose;
    }

    /** Returns whether the whole frame was written to the socket. */
    boolean isSent() {
      return sent;
    }
  }

  private static final int MAX_READS_PER_EVENT = 4;
  private static final int TIMER_TICKS_PER_HEARTBEAT = 4;

  private final EventLoop loop;
  private final SocketChannel channel;
  private final PeerSettings settings;
  private final PeerMetrics metrics;
  private final OutboundBudget budget;
  private final Listener listener;
  private final boolean initiator;
  private final long maxSendIdleMs;
  private final long timerGranularityMs;
  private final FrameReader reader;
  private final SelectionKey key;
  private final Deque<Outbound> outbound = new ArrayDeque<>();
  private int outboundBytes;
  private long lastReceivedNs = System.nanoTime();
  private long lastSentNs = lastReceivedNs;
  private EventLoop.@Nullable Timer timer;
  private @Nullable Counter linkSentBytes;
  private @Nullable Counter linkReceivedBytes;
  private int negotiatedVersion = BodyVersion.OLDEST;
  private boolean receivedFrame;
  private boolean closed;

  /**
   * Registers a connected channel with the loop.
   *
   * @param loop event loop that serves the channel
   * @param channel the channel, connected and non-blocking
   * @param settings timeouts and limits
   * @param metrics traffic and event counters
   * @param budget limits the unsent bytes of all connections together
   * @param initiator whether this end opened the connection and so sends the first hello; the other
   *     end replies with its own
   * @param listener receives frames and the close event
   * @throws IOException if the channel is already closed
   */
  Connection(
      EventLoop loop,
      SocketChannel channel,
      PeerSettings settings,
      PeerMetrics metrics,
      OutboundBudget budget,
      boolean initiator,
      Listener listener)
      throws IOException {
    this.loop = loop;
    this.channel = channel;
    this.settings = settings;
    this.metrics = metrics;
    this.budget = budget;
    this.initiator = initiator;
    this.listener = listener;
    this.maxSendIdleMs = maxSendIdleMs(settings, initiator);
    this.timerGranularityMs = Math.max(1, settings.heartbeatMs() / TIMER_TICKS_PER_HEARTBEAT);
    this.reader = new FrameReader(settings.maxFrameBytes());
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    this.key = loop.register(channel, SelectionKey.OP_READ, this::onReady);
  }

  /** Starts the heartbeat checks, and sends the hello if this end is the initiator. */
  void start() {
    if (initiator) {
      sendHello();
    }
    scheduleTimeoutCheck();
  }

  /** Sets the per-link byte counters, unless they are already set. */
  void initLinkCounters(String region, String domain) {
    if (linkSentBytes == null) {
      linkSentBytes = metrics.linkBytes(Direction.SENT, region, domain);
      linkReceivedBytes = metrics.linkBytes(Direction.RECEIVED, region, domain);
    }
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns whether any frame has been received. */
  boolean hasReceivedFrame() {
    return receivedFrame;
  }

  /** Returns the newest body version that both ends support; the oldest until the peer's hello. */
  int negotiatedVersion() {
    return negotiatedVersion;
  }

  /** Counts the bytes of a received frame under the given purpose. */
  void countReceived(Frame frame, Purpose purpose) {
    metrics.count(Direction.RECEIVED, purpose, frame.wireBytes());
    if (linkReceivedBytes != null) {
      linkReceivedBytes.inc(frame.wireBytes());
    }
  }

  /**
   * Sends a frame, or queues it until the socket is writable.
   *
   * @return the queued frame, or null if the connection is closed or the outbound limit is reached
   */
  @Nullable Outbound send(Frame frame, Purpose purpose) {
    if (closed || !tryReserve(frame.wireBytes())) {
      return null;
    }
    if (outbound.isEmpty()) {
      lastSentNs = System.nanoTime();
    }
    Outbound out = new Outbound(frame.encode(), purpose);
    outbound.add(out);
    flush();
    return out;
  }

  /**
   * Removes a frame from the queue if none of its bytes were written.
   *
   * @return false if the frame was written in part or whole
   */
  boolean cancelSend(Outbound out) {
    if (out.bytes.position() > 0 || !outbound.remove(out)) {
      return false;
    }
    release(out.bytes.limit());
    return true;
  }

  /** Returns the total size of the frames that are queued or partly written. */
  int outboundBytes() {
    return outboundBytes;
  }

  void close(String cause) {
    if (closed) {
      return;
    }
    closed = true;
    outbound.clear();
    if (timer != null) {
      loop.cancel(timer);
    }
    key.cancel();
    release(outboundBytes);
    try {
      channel.close();
    } catch (IOException e) {
      cause = cause + "; close failed: " + e.getMessage();
    }
    listener.onClosed(cause);
  }

  /** Closes the connection and counts the event that caused it. */
  void close(Event event, String cause) {
    if (!closed) {
      metrics.count(event);
    }
    close(cause);
  }

  private boolean tryReserve(int bytes) {
    if (outboundBytes + bytes > settings.maxOutboundBytes() || !budget.tryReserve(this, bytes)) {
      return false;
    }
    outboundBytes += bytes;
    return true;
  }

  private void release(int bytes) {
    outboundBytes -= bytes;
    budget.release(this, bytes);
  }

  private void onReady(SelectionKey readyKey) {
    if (readyKey.isReadable()) {
      receive();
    }
    if (!closed && readyKey.isWritable()) {
      flush();
    }
  }

  private void receive() {
    try {
      for (int i = 0; i < MAX_READS_PER_EVENT && !closed; i++) {
        ByteBuffer buffer = loop.readBuffer();
        int readBytes = channel.read(buffer);
        if (readBytes < 0) {
          close("the peer closed the connection");
          return;
        }
        if (readBytes == 0) {
          return;
        }
        lastReceivedNs = System.nanoTime();
        reader.feed(buffer.flip(), this::handleFrame);
      }
    } catch (FrameException e) {
      sendErrorAndClose(e);
    } catch (IOException e) {
      close("read failed: " + e.getMessage());
    }
  }

  private void handleFrame(Frame frame) throws FrameException {
    if (closed) {
      return;
    }
    receivedFrame = true;
    switch (frame.kind()) {
      case HELLO -> handleHello(frame);
      case HEARTBEAT -> handleHeartbeat(frame);
      default -> listener.onFrame(frame);
    }
  }

  /** Replies at once if a heartbeat is due soon anyway, which saves a timer wakeup. */
  private void handleHeartbeat(Frame frame) {
    countReceived(frame, Purpose.UPKEEP);
    long sendIdleMs = elapsedMs(System.nanoTime(), lastSentNs);
    if (outbound.isEmpty() && sendIdleMs >= settings.heartbeatMs() / 2) {
      send(Frame.heartbeat(), Purpose.UPKEEP);
    }
  }

  private void handleHello(Frame frame) throws FrameException {
    Hello hello = Hello.decode(frame.body());
    initLinkCounters(hello.region(), hello.domain());
    countReceived(frame, Purpose.UPKEEP);
    negotiatedVersion = Math.min(settings.maxVersion(), hello.maxVersion());
    if (!initiator) {
      sendHello();
    }
  }

  private void sendHello() {
    Hello hello = new Hello(settings.maxVersion(), settings.region(), settings.domain());
    send(new Frame(BodyVersion.OLDEST, FrameKind.HELLO, 0, hello.encode()), Purpose.UPKEEP);
  }

  /** Sends an error frame and closes, since later input is unreliable after an invalid frame. */
  private void sendErrorAndClose(FrameException e) {
    sendError(e);
    close(Event.CLOSED_MALFORMED, "received an invalid frame: " + e.getMessage());
  }

  /** Reports to the peer that a frame was rejected, or that the reply to it was not sent. */
  void sendError(FrameException e) {
    send(FrameError.of(e).toFrame(e.id()), Purpose.ERROR);
  }

  private void flush() {
    try {
      while (!outbound.isEmpty() && writeFirst()) {
        outbound.remove();
      }
      key.interestOps(
          outbound.isEmpty() ? SelectionKey.OP_READ : SelectionKey.OP_READ | SelectionKey.OP_WRITE);
    } catch (IOException e) {
      close("write failed: " + e.getMessage());
    }
  }

  /** Writes the first queued frame as far as possible; returns whether it is complete. */
  private boolean writeFirst() throws IOException {
    Outbound first = outbound.element();
    int writtenBytes = channel.write(first.bytes);
    if (writtenBytes > 0) {
      lastSentNs = System.nanoTime();
    }
    if (first.bytes.hasRemaining()) {
      return false;
    }
    first.sent = true;
    release(first.bytes.limit());
    metrics.count(Direction.SENT, first.purpose, first.bytes.limit());
    if (linkSentBytes != null) {
      linkSentBytes.inc(first.bytes.limit());
    }
    return true;
  }

  private void scheduleTimeoutCheck() {
    long nowNs = System.nanoTime();
    long receiveTimeLeftMs = settings.heartbeatTimeoutMs() - elapsedMs(nowNs, lastReceivedNs);
    long sendIdleMs = outbound.isEmpty() ? elapsedMs(nowNs, lastSentNs) : 0;
    long delayMs = Math.max(1, Math.min(receiveTimeLeftMs, maxSendIdleMs - sendIdleMs));
    timer = loop.scheduleAligned(delayMs, timerGranularityMs, this::checkTimeouts);
  }

  private void checkTimeouts() {
    if (elapsedMs(System.nanoTime(), lastReceivedNs) >= settings.heartbeatTimeoutMs()) {
      receive(); // After a pause of this process, data may be waiting in the socket buffer.
    }
    if (closed) {
      return;
    }
    long nowNs = System.nanoTime();
    if (elapsedMs(nowNs, lastReceivedNs) >= settings.heartbeatTimeoutMs()) {
      close(Event.CLOSED_SILENT, "no data received for " + settings.heartbeatTimeoutMs() + " ms");
      return;
    }
    checkSendTimeout(elapsedMs(nowNs, lastSentNs));
    if (!closed) {
      scheduleTimeoutCheck();
    }
  }

  private void checkSendTimeout(long sendIdleMs) {
    if (outbound.isEmpty()) {
      if (sendIdleMs >= maxSendIdleMs) {
        send(Frame.heartbeat(), Purpose.UPKEEP);
      }
    } else if (sendIdleMs >= settings.heartbeatTimeoutMs()) {
      String cause = "the peer accepted no data for " + settings.heartbeatTimeoutMs() + " ms";
      close(Event.CLOSED_SLOW_READER, cause);
    }
  }

  /**
   * Returns the idle time before a heartbeat is sent. It is shorter on the initiator, so that the
   * other end only needs to reply.
   */
  private static long maxSendIdleMs(PeerSettings settings, boolean initiator) {
    long heartbeatMs = settings.heartbeatMs();
    return initiator ? heartbeatMs : heartbeatMs + heartbeatMs / 2;
  }

  private static long elapsedMs(long nowNs, long sinceNs) {
    return TimeUnit.NANOSECONDS.toMillis(nowNs - sinceNs);
  }
}
