package org.hickorymoor.daemon.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorymoor.daemon.peer.PeerMetrics.Event;
import org.jspecify.annotations.Nullable;

/**
 * A connection that this process opened, with the calls on it.
 *
 * <p>Belongs to the thread of its loop.
 */
final class ClientConnection implements Connection.Listener {

  /** Told what becomes of the connection. */
  interface Owner {
    /** The peer takes no new calls on this connection. */
    void onGoAway(ClientConnection connection);

    /** The connection has ended, or was never made; {@code heard} if anything ever arrived. */
    void onEnded(ClientConnection connection, boolean heard);
  }

  private final EventLoop loop;
  private final PeerSettings settings;
  private final PeerMetrics metrics;
  private final OutboundBudget budget;
  private final String address;
  private final Owner owner;
  private final Deque<PendingCall> waiting = new ArrayDeque<>();
  private final Map<Integer, PendingCall> pending = new HashMap<>();
  private @Nullable PeerAddress link;
  private @Nullable SocketChannel channel;
  private @Nullable Connection connection;
  private EventLoop.@Nullable Timer timer;
  private int lastId;
  private long calls;
  private boolean draining;
  private boolean ended;

  ClientConnection(
      EventLoop loop,
      PeerSettings settings,
      PeerMetrics metrics,
      OutboundBudget budget,
      String address,
      Owner owner) {
    this.loop = loop;
    this.settings = settings;
    this.metrics = metrics;
    this.budget = budget;
    this.address = address;
    this.owner = owner;
  }

  /** Begins to connect, unless that was begun before. */
  void connect() {
    if (channel != null || ended) {
      return;
    }
    try {
      final InetSocketAddress target = Addresses.parse(address);
      SocketChannel opened = SocketChannel.open();
      channel = opened;
      opened.configureBlocking(false);
      loop.register(opened, SelectionKey.OP_CONNECT, key -> onConnectable(opened));
      timer = loop.schedule(settings.connectTimeoutMs(), () -> connectFailed("it took too long"));
      if (opened.connect(target)) {
        onConnectable(opened);
      }
    } catch (IOException | IllegalArgumentException e) {
      connectFailed(String.valueOf(e.getMessage()));
    }
  }

  /** Names the peer's link for the counters. */
  void nameLink(PeerAddress newLink) {
    link = newLink;
    if (connection != null) {
      connection.nameLink(newLink.region(), newLink.domain());
    }
  }

  /** Takes a call, which ends with a reply or a typed failure. */
  void submit(PendingCall call) {
    calls++;
    call.setDeadline(loop.schedule(call.timeoutMs(), () -> expire(call)));
    if (connection == null) {
      waiting.add(call);
    } else {
      send(connection, call);
    }
  }

  int callsInFlight() {
    return waiting.size() + pending.size();
  }

  /** Closes the connection; calls on it fail. */
  void close(String cause) {
    if (connection == null) {
      connectFailed(cause);
    } else {
      connection.close(cause);
    }
  }

  @Override
  public void onFrame(Frame frame) throws FrameException {
    switch (frame.kind()) {
      case REPLY -> onReply(frame);
      case ERROR -> onError(frame);
      case GO_AWAY -> onGoAway(frame);
      default -> throw FrameException.malformed("expected a reply, got " + frame.kind());
    }
  }

  @Override
  public void onClosed(String cause) {
    end(cause, connection != null && connection.isHeard());
  }

  private void onConnectable(SocketChannel connecting) {
    try {
      if (!connecting.finishConnect()) {
        return;
      }
      cancelTimer();
      Connection opened = new Connection(loop, connecting, settings, metrics, budget, true, this);
      connection = opened;
      metrics.count(Event.CONNECTED);
      onConnected(opened);
    } catch (IOException e) {
      connectFailed(String.valueOf(e.getMessage()));
    }
  }

  private void onConnected(Connection opened) {
    if (link != null) {
      opened.nameLink(link.region(), link.domain());
    }
    opened.start();
    scheduleIdleCheck();
    while (!waiting.isEmpty()) {
      send(opened, waiting.remove());
    }
  }

  private void connectFailed(String cause) {
    if (ended || connection != null) {
      return;
    }
    metrics.count(Event.CONNECT_FAILED);
    if (channel != null) {
      try {
        channel.close();
      } catch (IOException e) {
        cause = cause + "; closing failed: " + e.getMessage();
      }
    }
    end("connecting failed: " + cause, false);
  }

  private void send(Connection opened, PendingCall call) {
    byte[] packed = RequestCodec.CODEC.encode(call.request());
    if (packed.length > settings.maxPackedBytes()) {
      finish(call);
      call.complete(tooLarge(packed.length));
      return;
    }
    byte[] body = BodyVersion.wrap(opened.version(), packed);
    Frame frame = new Frame(opened.version(), FrameKind.REQUEST, nextId(), body);
    pending.put(frame.id(), call);
    Connection.Outbound outbound = opened.send(frame, Purpose.of(call.request()));
    if (outbound != null) {
      call.sentAs(frame.id(), outbound);
    } else if (pending.remove(frame.id()) != null) {
      finish(call);
      metrics.count(Event.OVERLOADED);
      call.fail(PeerException.Type.OVERLOADED, "too many bytes wait to be sent to " + address);
    }
  }

  private int nextId() {
    lastId = lastId == Integer.MAX_VALUE ? 1 : lastId + 1;
    return lastId;
  }

  private PeerReply tooLarge(int packedBytes) {
    return new PeerReply.Refused(
        PeerErrorType.BAD_REQUEST,
        String.format(
            "expected a request of at most %d bytes, got %d; it was not sent",
            settings.maxPackedBytes(), packedBytes));
  }

  private void onReply(Frame frame) {
    PendingCall call = take(frame);
    if (call == null) {
      return;
    }
    try {
      call.complete(decode(frame));
    } catch (FrameException e) {
      call.fail(PeerException.Type.BAD_ANSWER, address + " answered: " + e.getMessage());
    }
    closeIfDrained();
  }

  private PeerReply decode(Frame frame) throws FrameException {
    int version = frame.version();
    if (!BodyVersion.isSpoken(version, settings.maxVersion())) {
      metrics.count(Event.UNSUPPORTED_VERSION);
      throw new FrameException(
          FrameErrorType.UNSUPPORTED_VERSION, frame.id(), "a frame of version " + version);
    }
    byte[] packed = BodyVersion.unwrap(version, frame.body(), settings.maxFrameBytes());
    return ReplyCodec.CODEC.decode(packed);
  }

  private void onError(Frame frame) throws FrameException {
    FrameError error = FrameError.decode(frame.body());
    PendingCall call = take(frame);
    if (call == null) {
      return;
    }
    String message = address + " answered " + error.type() + ": " + error.message();
    if (error.type() == FrameErrorType.REPLY_TOO_LARGE) {
      call.fail(PeerException.Type.BAD_ANSWER, message);
    } else {
      call.complete(new PeerReply.Refused(PeerErrorType.BAD_REQUEST, message));
    }
    closeIfDrained();
  }

  /** Takes the call that a frame ends; null, and counted, if the frame is late or a duplicate. */
  private @Nullable PendingCall take(Frame frame) {
    PendingCall call = pending.remove(frame.id());
    if (connection != null) {
      connection.countReceived(frame, call == null ? Purpose.DROPPED : Purpose.of(call.request()));
    }
    if (call == null) {
      metrics.count(Event.REPLY_DROPPED);
      return null;
    }
    finish(call);
    return call;
  }

  private void onGoAway(Frame frame) {
    if (connection != null) {
      connection.countReceived(frame, Purpose.UPKEEP);
    }
    draining = true;
    owner.onGoAway(this);
    closeIfDrained();
  }

  private void closeIfDrained() {
    if (draining && callsInFlight() == 0) {
      close("the peer is stopping");
    }
  }

  private void expire(PendingCall call) {
    metrics.count(Event.DEADLINE_PASSED);
    boolean unsent = waiting.remove(call) || withdraw(call);
    pending.remove(call.id(), call);
    PeerException.Type type =
        unsent ? PeerException.Type.UNREACHABLE : PeerException.Type.NO_ANSWER;
    call.fail(type, address + " gave no answer within " + call.timeoutMs() + " ms");
    closeIfDrained();
  }

  private boolean withdraw(PendingCall call) {
    Connection.Outbound outbound = call.outbound();
    return connection != null && outbound != null && connection.withdraw(outbound);
  }

  private void end(String cause, boolean heard) {
    if (ended) {
      return;
    }
    ended = true;
    cancelTimer();
    List<PendingCall> calls = new ArrayList<>(waiting);
    calls.addAll(pending.values());
    waiting.clear();
    pending.clear();
    owner.onEnded(this, heard);
    for (PendingCall call : calls) {
      finish(call);
      call.fail(
          call.isSent() ? PeerException.Type.NO_ANSWER : PeerException.Type.UNREACHABLE,
          "connection to " + address + " ended: " + cause);
    }
  }

  private void finish(PendingCall call) {
    if (call.deadline() != null) {
      loop.cancel(call.deadline());
    }
  }

  private void scheduleIdleCheck() {
    long callsBefore = calls;
    timer = loop.schedule(settings.idleCloseMs(), () -> checkIdle(callsBefore));
  }

  private void checkIdle(long callsBefore) {
    if (calls == callsBefore && callsInFlight() == 0) {
      close("it was idle");
    } else {
      scheduleIdleCheck();
    }
  }

  private void cancelTimer() {
    if (timer != null) {
      loop.cancel(timer);
      timer = null;
    }
  }
}
