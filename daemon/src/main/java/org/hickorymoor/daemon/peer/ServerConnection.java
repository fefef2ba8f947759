package org.hickorymoor.daemon.peer;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.hickorymoor.daemon.peer.PeerMetrics.Event;

/**
 * Server side of a connection: decodes requests, limits the number in flight and sends replies.
 *
 * <p>Confined to the event loop's thread.
 */
final class ServerConnection implements Connection.Listener {

  /** Receives the requests and the close event of a connection. */
  interface Owner {
    /** Handles a request, which is answered through {@link ServerConnection#reply}. */
    void onRequest(ServerConnection connection, RequestContext context, PeerRequest request);

    /** Called once, after the connection has closed. */
    void onClosed(ServerConnection connection, String cause);
  }

  /**
   * Details of a request that are needed to send its reply.
   *
   * @param id id of the request
   * @param version body version of the request, also used for the reply
   * @param purpose metric under which its bytes are counted
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

  /** Asks the peer to send no new requests, and to close once it has received its replies. */
  void sendGoAway() {
    connection.send(Frame.goAway(), Purpose.UPKEEP);
  }

  /** Sends a reply; an error frame if the reply exceeds the frame limit. */
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
      connection.close(Event.CLOSED_SLOW_READER, "the outbound limit is exceeded");
    }
  }

  @Override
  public void onFrame(Frame frame) throws FrameException {
    switch (frame.kind()) {
      case REQUEST -> onRequest(frame);
      case ERROR, GO_AWAY -> connection.countReceived(frame, Purpose.ERROR);
      default ->
          throw new FrameException(
              FrameErrorType.MALFORMED,
              frame.id(),
              "expected a frame of kind REQUEST, got " + frame.kind());
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
        "limit of " + settings.maxInFlight() + " requests in flight on a connection exceeded");
  }

  private FrameException unsupportedVersion(Frame frame) {
    return new FrameException(
        FrameErrorType.UNSUPPORTED_VERSION,
        frame.id(),
        String.format(
            "unsupported body version: expected %d to %d, got %d",
            BodyVersion.OLDEST, settings.maxVersion(), frame.version()));
  }

  private FrameException replyTooLarge(int id, int packedBytes) {
    return new FrameException(
        FrameErrorType.REPLY_TOO_LARGE,
        id,
        String.format(
            "reply is too large: limit %d bytes, got %d; request fewer items",
            settings.maxPackedBytes(), packedBytes));
  }
}
