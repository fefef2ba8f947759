package org.hickorymoor.daemon.peer;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.hickorymoor.daemon.peer.PeerMetrics.Event;

/**
 * A connection that a peer opened, with the requests on it.
 *
 * <p>Belongs to the thread of its loop.
 */
final class ServerConnection implements Connection.Listener {

  /** Told what comes of the connection. */
  interface Owner {
    /** A request came; the reply goes to {@link ServerConnection#reply}. */
    void onRequest(ServerConnection connection, RequestContext context, PeerRequest request);

    /** The connection has closed. */
    void onClosed(ServerConnection connection, String cause);
  }

  /**
   * What a reply needs to know of its request.
   *
   * @param id id of the request
   * @param version version that it came in, in which it is answered
   * @param purpose what its bytes count for
   */
  record RequestContext(int id, int version, Purpose purpose) {}

  private final PeerSettings settings;
  private final PeerMetrics metrics;
  private final Owner owner;
  private final Connection connection;
  private int requestsInFlight;

  ServerConnection(
      EventLoop loop,
      SocketChannel channel,
      PeerSettings settings,
      PeerMetrics metrics,
      OutboundBudget budget,
      Owner owner)
      throws IOException {
    this.settings = settings;
    this.metrics = metrics;
    this.owner = owner;
    this.connection = new Connection(loop, channel, settings, metrics, budget, false, this);
  }

  void start() {
    connection.start();
  }

  void close(String cause) {
    connection.close(cause);
  }

  /** Tells the peer to send nothing new; it closes the connection when it has its replies. */
  void goAway() {
    connection.send(Frame.goAway(), Purpose.UPKEEP);
  }

  /** Sends the reply to a request. */
  void reply(RequestContext context, PeerReply reply) {
    requestsInFlight--;
    if (connection.isClosed()) {
      metrics.count(Event.REPLY_DROPPED);
      return;
    }
    byte[] packed = ReplyCodec.CODEC.encode(reply);
    if (packed.length > settings.maxPackedBytes()) {
      metrics.count(Event.REPLY_TOO_LARGE);
      connection.sendError(replyTooLarge(context.id(), packed.length));
      return;
    }
    byte[] body = BodyVersion.wrap(context.version(), packed);
    Frame frame = new Frame(context.version(), FrameKind.REPLY, context.id(), body);
    if (connection.send(frame, context.purpose()) == null) {
      connection.close(Event.CLOSED_SLOW_READER, "too many bytes wait to be sent");
    }
  }

  @Override
  public void onFrame(Frame frame) throws FrameException {
    switch (frame.kind()) {
      case REQUEST -> onRequest(frame);
      case ERROR, GO_AWAY -> connection.countReceived(frame, Purpose.ERROR);
      default ->
          throw new FrameException(
              FrameErrorType.MALFORMED, frame.id(), "expected a request, got " + frame.kind());
    }
  }

  @Override
  public void onClosed(String cause) {
    owner.onClosed(this, cause);
  }

  private void onRequest(Frame frame) throws FrameException {
    if (!BodyVersion.isSupported(frame.version(), settings.maxVersion())) {
      connection.countReceived(frame, Purpose.ERROR);
      metrics.count(Event.UNSUPPORTED_VERSION);
      connection.sendError(unsupportedVersion(frame));
      return;
    }
    PeerRequest request = decode(frame);
    RequestContext context = new RequestContext(frame.id(), frame.version(), Purpose.of(request));
    connection.countReceived(frame, context.purpose());
    requestsInFlight++;
    if (requestsInFlight > settings.maxInFlight()) {
      metrics.count(Event.OVERLOADED);
      reply(context, overloaded());
    } else {
      owner.onRequest(this, context, request);
    }
  }

  private PeerRequest decode(Frame frame) throws FrameException {
    try {
      byte[] packed = BodyVersion.unwrap(frame.version(), frame.body(), settings.maxFrameBytes());
      return RequestCodec.CODEC.decode(packed);
    } catch (FrameException e) {
      throw new FrameException(e.type(), frame.id(), String.valueOf(e.getMessage()));
    }
  }

  private PeerReply overloaded() {
    return new PeerReply.Refused(
        PeerErrorType.OVERLOADED,
        "expected at most " + settings.maxInFlight() + " requests in flight on a connection");
  }

  private FrameException unsupportedVersion(Frame frame) {
    return new FrameException(
        FrameErrorType.UNSUPPORTED_VERSION,
        frame.id(),
        String.format(
            "expected version %d to %d, got %d",
            BodyVersion.OLDEST, settings.maxVersion(), frame.version()));
  }

  private FrameException replyTooLarge(int id, int packedBytes) {
    return new FrameException(
        FrameErrorType.REPLY_TOO_LARGE,
        id,
        String.format(
            "expected a reply of at most %d bytes, got %d; ask for less",
            settings.maxPackedBytes(), packedBytes));
  }
}
