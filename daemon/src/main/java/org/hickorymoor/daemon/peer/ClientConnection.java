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
 * Client side of a connection: connects, sends calls and matches replies to them.
 *
 * <p>Confined to the event loop's thread.
 */
final class ClientConnection implements Connection.Listener {

  /** Receives the state changes of a connection. */
  interface Owner {
    /** Called when the peer accepts no new calls on this connection. */
    void onGoAway(ClientConnection connection);

    /** Called once, when the connection has closed or could not be established. */
    void onTerminated(ClientConnection connection, boolean receivedFrame);
  }

  private final EventLoop loop;
  private final PeerSettings settings;
  private final PeerMetrics metrics;
  private final OutboundBudget budget;
  private final String address;
  private final Owner owner;
  private final Deque<PendingCall> queued = new ArrayDeque<>();
  private final Map<Integer, PendingCall> pending = new HashMap<>();
  private @Nullable PeerAddress link;
  private @Nullable SocketChannel channel;
  private @Nullable Connection connection;
  private EventLoop.@Nullable Timer timer;
  private int lastId;
  private long callsSubmitted;
  private boolean draining;
  private boolean terminated;

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

  /** Starts connecting, unless that has been started before. */
  void connect() {
    if (channel != null || terminated) {
      return;
    }
    try {
      final InetSocketAddress target = Addresses.parse(address);
      SocketChannel opened = SocketChannel.open();
      channel = opened;
      opened.configureBlocking(false);
      loop.register(opened, SelectionKey.OP_CONNECT, key -> onConnectable(opened));
      timer = loop.schedule(settings.connectTimeoutMs(), () -> connectFailed("timed out"));
      if (opened.connect(target)) {
        onConnectable(opened);
      }
    } catch (IOException | IllegalArgumentException e) {
      connectFailed(String.valueOf(e.getMessage()));
    }
  }

  /** Sets the location of the peer, for the per-link byte counters. */
  void setLink(PeerAddress newLink) {
    link = newLink;
    if (connection != null) {
      connection.initLinkCounters(newLink.region(), newLink.domain());
    }
  }

  /** Sends a call, or queues it until the connection is established. */
  void submit(PendingCall call) {
    callsSubmitted++;
    call.setDeadline(loop.schedule(call.timeoutMs(), () -> onDeadline(call)));
    if (connection == null) {
      queued.add(call);
    } else {
      send(connection, call);
    }
  }

  int callsInFlight() {
    return queued.size() + pending.size();
  }

  /** Closes the connection, which fails its calls. */
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
      default ->
          throw FrameException.malformed(
              "expected a frame of kind REPLY, ERROR or GO_AWAY, got " + frame.kind());
    }
  }

  @Override
  public void onClosed(String cause) {
    terminate(cause, connection != null && connection.hasReceivedFrame());
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
      opened.initLinkCounters(link.region(), link.domain());
    }
    opened.start();
    scheduleIdleCheck();
    while (!queued.isEmpty()) {
      send(opened, queued.remove());
    }
  }

  private void connectFailed(String cause) {
    if (terminated || connection != null) {
      return;
    }
    metrics.count(Event.CONNECT_FAILED);
    if (channel != null) {
      try {
        channel.close();
      } catch (IOException e) {
        cause = cause + "; close failed: " + e.getMessage();
      }
    }
    terminate("connect failed: " + cause, false);
  }

  private void send(Connection opened, PendingCall call) {
    byte[] packed = RequestCodec.CODEC.encode(call.request());
    if (packed.length > settings.maxPackedBytes()) {
      cancelDeadline(call);
      call.complete(tooLarge(packed.length));
      return;
    }
    byte[] body = BodyVersion.wrap(opened.negotiatedVersion(), packed);
    Frame frame = new Frame(opened.negotiatedVersion(), FrameKind.REQUEST, nextId(), body);
    pending.put(frame.id(), call);
    Connection.Outbound outbound = opened.send(frame, Purpose.of(call.request()));
    if (outbound != null) {
      call.setOutbound(frame.id(), outbound);
    } else if (pending.remove(frame.id()) != null) {
      cancelDeadline(call);
      metrics.count(Event.OVERLOADED);
      call.fail(PeerException.Type.OVERLOADED, "outbound limit exceeded for " + address);
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
            "request was not sent: limit %d bytes, got %d",
            settings.maxPackedBytes(), packedBytes));
  }

  private void onReply(Frame frame) {
    PendingCall call = removePendingCall(frame);
    if (call == null) {
      return;
    }
    try {
      call.complete(decode(frame));
    } catch (FrameException e) {
      call.fail(
          PeerException.Type.BAD_RESPONSE, address + " sent an invalid reply: " + e.getMessage());
    }
    closeIfDrained();
  }

  private PeerReply decode(Frame frame) throws FrameException {
    int version = frame.version();
    if (!BodyVersion.isSupported(version, settings.maxVersion())) {
      metrics.count(Event.UNSUPPORTED_VERSION);
      throw new FrameException(
          FrameErrorType.UNSUPPORTED_VERSION, frame.id(), "unsupported body version " + version);
    }
    byte[] packed = BodyVersion.unwrap(version, frame.body(), settings.maxFrameBytes());
    return ReplyCodec.CODEC.decode(packed);
  }

  private void onError(Frame frame) throws FrameException {
    FrameError error = FrameError.decode(frame.body());
    PendingCall call = removePendingCall(frame);
    if (call == null) {
      return;
    }
    String message = address + " replied with error " + error.type() + ": " + error.message();
    if (error.type() == FrameErrorType.REPLY_TOO_LARGE) {
      call.fail(PeerException.Type.BAD_RESPONSE, message);
    } else {
      call.complete(new PeerReply.Refused(PeerErrorType.BAD_REQUEST, message));
    }
    closeIfDrained();
  }

  /** Removes the call that a frame replies to; null if the frame is late or a duplicate. */
  private @Nullable PendingCall removePendingCall(Frame frame) {
    PendingCall call = pending.remove(frame.id());
    if (connection != null) {
      connection.countReceived(frame, call == null ? Purpose.DROPPED : Purpose.of(call.request()));
    }
    if (call == null) {
      metrics.count(Event.REPLY_DROPPED);
      return null;
    }
    cancelDeadline(call);
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

  private void onDeadline(PendingCall call) {
    metrics.count(Event.DEADLINE_PASSED);
    boolean unsent = queued.remove(call) || cancelSend(call);
    pending.remove(call.id(), call);
    PeerException.Type type =
        unsent ? PeerException.Type.UNREACHABLE : PeerException.Type.NO_RESPONSE;
    call.fail(type, address + " did not reply within " + call.timeoutMs() + " ms");
    closeIfDrained();
  }

  private boolean cancelSend(PendingCall call) {
    Connection.Outbound outbound = call.outbound();
    return connection != null && outbound != null && connection.cancelSend(outbound);
  }

  private void terminate(String cause, boolean receivedFrame) {
    if (terminated) {
      return;
    }
    terminated = true;
    cancelTimer();
    List<PendingCall> calls = new ArrayList<>(queued);
    calls.addAll(pending.values());
    queued.clear();
    pending.clear();
    owner.onTerminated(this, receivedFrame);
    for (PendingCall call : calls) {
      cancelDeadline(call);
      call.fail(
          call.isSent() ? PeerException.Type.NO_RESPONSE : PeerException.Type.UNREACHABLE,
          "connection to " + address + " closed: " + cause);
    }
  }

  private void cancelDeadline(PendingCall call) {
    if (call.deadline() != null) {
      loop.cancel(call.deadline());
    }
  }

  private void scheduleIdleCheck() {
    long submittedBefore = callsSubmitted;
    timer = loop.schedule(settings.idleTimeoutMs(), () -> checkIdle(submittedBefore));
  }

  private void checkIdle(long submittedBefore) {
    if (callsSubmitted == submittedBefore && callsInFlight() == 0) {
      close("idle timeout");
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
