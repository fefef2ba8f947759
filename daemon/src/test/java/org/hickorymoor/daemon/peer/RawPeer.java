package org.hickorymoor.daemon.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;

/** Blocking peer connection that sends arbitrary frames and bytes. */
final class RawPeer implements AutoCloseable {

  private static final int READ_TIMEOUT_MS = 20_000;

  private final Socket socket;
  private final DataInputStream in;

  RawPeer(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new DataInputStream(socket.getInputStream());
    socket.setSoTimeout(READ_TIMEOUT_MS);
  }

  static RawPeer connect(String address) throws IOException {
    InetSocketAddress target = Addresses.parse(address);
    return new RawPeer(new Socket(target.getAddress(), target.getPort()));
  }

  void send(Frame frame) throws IOException {
    send(frame.encode().array());
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Returns the next frame of a kind, skipping others; throws EOFException if there is none. */
  Frame read(FrameKind wanted) throws Exception {
    while (true) {
      byte[] bytes = new byte[in.readInt()];
      in.readFully(bytes);
      Frame frame = Frame.decode(ByteBuffer.wrap(bytes));
      if (frame.kind() == wanted) {
        return frame;
      }
    }
  }

  /** Discards input until the other end closes the connection. */
  void awaitClosed() throws IOException {
    try {
      in.readAllBytes();
    } catch (SocketException e) {
      // A connection reset counts as closed.
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
