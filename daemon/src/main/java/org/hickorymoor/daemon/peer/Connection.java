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
 * One connection, whichever end opened it: frames, heartbeats and limits.
 *
 * <p>Belongs to the thread of its loop.
 */
final class Connection {

  /** Takes what the connection does not see to itself. */
  interface Listener {
    /** Takes a frame other than hello and heartbeat. */
    void onFrame(Frame frame) throws FrameException;

    /** Told once, when the connection has closed. */
    void onClosed(String cause);
  }

  /** A frame on its way out. */
  static final class Outbound {
    private final ByteBuffer bytes;
    private final Purpose purpose;
    private boolean sent;

    private Outbound(ByteBuffer bytes, Purpose purpose) {
      this.bytes = bytes;
      this.purpose = purpose;
    }

    /** Tells whether the whole frame was handed to the system. */
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
   * Takes over a connected channel.
   *
   * @param loop the loop that serves it
   * @param channel the channel, connected and non-blocking
   * @param settings times and limits
   * @param metrics counters
   * @param budget bounds the unsent bytes of all connections
   * @param initiator whether to send a hello unasked; the other end answers it with its own
   * @param listener takes frames and the end
   * @throws IOException if the channel is closed already
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

  /** Begins heartbeats, and sends the hello if this end greets first. */
  void start() {
    if (initiator) {
      sendHello();
    }
    scheduleCheck();
  }

  /** Names the peer's link, unless that is known. */
  void initLinkCounters(String region, String domain) {
    if (linkSentBytes == null) {
      linkSentBytes = metrics.linkBytes(Direction.SENT, region, domain);
      linkReceivedBytes = metrics.linkBytes(Direction.RECEIVED, region, domain);
    }
  }

  boolean isClosed() {
    return closed;
  }

  /** Tells whether anything has arrived. */
  boolean hasReceivedFrame() {
    return receivedFrame;
  }

  /** Returns the newest version that both ends speak, as far as is known. */
  int negotiatedVersion() {
    return negotiatedVersion;
  }

  /** Counts a received frame, whose purpose the listener knows. */
  void countReceived(Frame frame, Purpose purpose) {
    metrics.count(Direction.RECEIVED, purpose, frame.wireBytes());
    if (linkReceivedBytes != null) {
      linkReceivedBytes.inc(frame.wireBytes());
    }
  }

  /**
   * Sends a frame, or queues it until the peer reads on.
   *
   * @return the frame on its way, or null if the connection is closed or the queue full
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
   * Takes back a frame of which nothing was sent.
   *
   * @return false if a part of it was sent
   */
  boolean cancelSend(Outbound out) {
    if (out.bytes.position() > 0 || !outbound.remove(out)) {
      return false;
    }
    release(out.bytes.limit());
    return true;
  }

  /** Returns how many bytes wait to be sent. */
  int outboundBytes() {
    return outboundBytes;
  }

  /** Closes the connection. */
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
      cause = cause + "; closing failed: " + e.getMessage();
    }
    listener.onClosed(cause);
  }

  /** Closes the connection and counts why. */
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
      close("reading failed: " + e.getMessage());
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

  /** Answers a heartbeat at once where one is soon due anyway, which spares a wake. */
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

  /** Tells the peer what is wrong with a frame, then closes: the stream is of no more use. */
  private void sendErrorAndClose(FrameException e) {
    sendError(e);
    close(Event.CLOSED_MALFORMED, "a frame could not be taken: " + e.getMessage());
  }

  /** Tells the peer that a frame was not taken, or its reply not sent. */
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
      close("writing failed: " + e.getMessage());
    }
  }

  /** Writes what it can of the first frame; returns whether that was all of it. */
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

  private void scheduleCheck() {
    long nowNs = System.nanoTime();
    long receiveTimeLeftMs = settings.heartbeatTimeoutMs() - elapsedMs(nowNs, lastReceivedNs);
    long sendIdleMs = outbound.isEmpty() ? elapsedMs(nowNs, lastSentNs) : 0;
    long delayMs = Math.max(1, Math.min(receiveTimeLeftMs, maxSendIdleMs - sendIdleMs));
    timer = loop.scheduleAligned(delayMs, timerGranularityMs, this::check);
  }

  private void check() {
    if (elapsedMs(System.nanoTime(), lastReceivedNs) >= settings.heartbeatTimeoutMs()) {
      receive(); // After a pause of this process, what came meanwhile still waits to be read.
    }
    if (closed) {
      return;
    }
    long nowNs = System.nanoTime();
    if (elapsedMs(nowNs, lastReceivedNs) >= settings.heartbeatTimeoutMs()) {
      close(Event.CLOSED_SILENT, "nothing arrived for " + settings.heartbeatTimeoutMs() + " ms");
      return;
    }
    checkSending(elapsedMs(nowNs, lastSentNs));
    if (!closed) {
      scheduleCheck();
    }
  }

  private void checkSending(long sinceSentMs) {
    if (outbound.isEmpty()) {
      if (sinceSentMs >= maxSendIdleMs) {
        send(Frame.heartbeat(), Purpose.UPKEEP);
      }
    } else if (sinceSentMs >= settings.heartbeatTimeoutMs()) {
      String cause = "the peer read nothing for " + settings.heartbeatTimeoutMs() + " ms";
      close(Event.CLOSED_SLOW_READER, cause);
    }
  }

  /** The end that greets first is quicker to send, so that the other has only to answer. */
  private static long maxSendIdleMs(PeerSettings settings, boolean initiator) {
    long heartbeatMs = settings.heartbeatMs();
    return initiator ? heartbeatMs : heartbeatMs + heartbeatMs / 2;
  }

  private static long elapsedMs(long nowNs, long sinceNs) {
    return TimeUnit.NANOSECONDS.toMillis(nowNs - sinceNs);
  }
}
