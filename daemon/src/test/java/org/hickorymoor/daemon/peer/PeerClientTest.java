package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.util.concurrent.Uninterruptibles.sleepUninterruptibly;
import static java.util.Objects.requireNonNull;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.peer.PeerReply.Done;
import org.hickorymoor.daemon.peer.PeerReply.ExplainReply;
import org.hickorymoor.daemon.peer.PeerReply.Refused;
import org.hickorymoor.daemon.peer.PeerRequest.FetchIntents;
import org.hickorymoor.daemon.peer.PeerRequest.ListWorkers;
import org.hickorymoor.daemon.peer.PeerRequest.StoreIntent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerClientTest {

  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final PeerRequest REQUEST = new ListWorkers();

  private final Peers peers = new Peers();
  private final BlockingQueue<CompletableFuture<PeerReply>> held = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    peers.close();
  }

  @Test
  void repliesOutOfOrderReachTheirOwnCalls() throws Exception {
    PeerServer server = peers.server(Peers.settings(), this::hold);
    PeerClient client = peers.client(Peers.settings());
    final CompletableFuture<PeerReply> first = call(client, server.address());
    CompletableFuture<PeerReply> second = call(client, server.address());

    CompletableFuture<PeerReply> firstHeld = nextHeld();
    nextHeld().complete(new ExplainReply(List.of("second")));
    assertThat(Peers.await(second)).isEqualTo(new ExplainReply(List.of("second")));
    firstHeld.complete(new ExplainReply(List.of("first")));

    assertThat(Peers.await(first)).isEqualTo(new ExplainReply(List.of("first")));
    assertThat(peers.clientCount("connected")).isEqualTo(1);
  }

  @Test
  void lateReplyIsDroppedAndCounted() throws Exception {
    PeerServer server = peers.server(Peers.settings(), this::hold);
    PeerClient client = peers.client(Peers.settings());
    CompletableFuture<PeerReply> early = call(client, server.address());
    nextHeld().complete(new Done());
    Peers.await(early);
    CompletableFuture<PeerReply> late = client.call(server.address(), REQUEST, 1_000);
    CompletableFuture<PeerReply> lateHeld = nextHeld();

    assertThat(failure(late)).isEqualTo(PeerException.Type.NO_ANSWER);
    lateHeld.complete(new ExplainReply(List.of("late")));

    CompletableFuture<PeerReply> next = call(client, server.address());
    nextHeld().complete(new Done());
    assertThat(Peers.await(next)).isEqualTo(new Done());
    assertThat(peers.clientCount("reply-dropped")).isEqualTo(1);
    assertThat(peers.clientCount("connected")).isEqualTo(1);
  }

  @Test
  void secondReplyToTheSameCallIsDropped() throws Exception {
    try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      PeerClient client = peers.client(Peers.patientSettings());
      CompletableFuture<PeerReply> reply = call(client, addressOf(acceptor));
      try (RawPeer raw = new RawPeer(acceptor.accept())) {
        int id = raw.read(FrameKind.REQUEST).id();
        Frame answer = new Frame(1, FrameKind.REPLY, id, ReplyCodec.CODEC.encode(new Done()));
        raw.send(answer);
        raw.send(answer);

        assertThat(Peers.await(reply)).isEqualTo(new Done());
        await().atMost(LIMIT).until(() -> peers.clientCount("reply-dropped") == 1);
      }
    }
  }

  @Test
  void replyThatCannotBeReadFailsItsCallOnly() throws Exception {
    try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      PeerClient client = peers.client(Peers.patientSettings());
      CompletableFuture<PeerReply> bad = call(client, addressOf(acceptor));
      CompletableFuture<PeerReply> good = call(client, addressOf(acceptor));
      try (RawPeer raw = new RawPeer(acceptor.accept())) {
        int badId = raw.read(FrameKind.REQUEST).id();
        int goodId = raw.read(FrameKind.REQUEST).id();
        raw.send(new Frame(1, FrameKind.REPLY, badId, new byte[] {1, 2, 3}));
        raw.send(new Frame(1, FrameKind.REPLY, goodId, ReplyCodec.CODEC.encode(new Done())));

        assertThat(failure(bad)).isEqualTo(PeerException.Type.BAD_ANSWER);
        assertThat(Peers.await(good)).isEqualTo(new Done());
      }
    }
  }

  @Test
  void silenceIsFoundByHeartbeatWhileNewConnectionsWork() throws Exception {
    PeerServer server = peers.server(Peers.settings(), Peers.done());
    Relay relay = peers.relay(server.address());
    PeerClient client = peers.client(Peers.settings());
    assertThat(Peers.await(call(client, relay.address()))).isEqualTo(new Done());

    relay.silencePresent();
    assertThat(failure(call(client, relay.address()))).isEqualTo(PeerException.Type.NO_ANSWER);

    assertThat(Peers.await(call(client, relay.address()))).isEqualTo(new Done());
    assertThat(peers.clientCount("closed-silent")).isEqualTo(1);
    await().atMost(LIMIT).until(() -> peers.serverCount("closed-silent") == 1);
  }

  @Test
  void noiseInPlaceOfRepliesFailsCallsTyped() throws Exception {
    Random random = new Random(62);
    PeerSettings settings = Peers.patientSettings();
    for (int i = 0; i < 100; i++) {
      try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        PeerClient client = peers.client(settings);
        CompletableFuture<PeerReply> call = call(client, addressOf(acceptor));
        try (RawPeer raw = new RawPeer(acceptor.accept())) {
          byte[] noise = new byte[1 + random.nextInt(40)];
          random.nextBytes(noise);
          raw.read(FrameKind.REQUEST);
          raw.send(noise);
        }
        assertThat(failure(call)).isEqualTo(PeerException.Type.NO_ANSWER);
        client.stop();
      }
    }
  }

  @Test
  void connectThatHangsFailsAsUnreachable() throws Exception {
    try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<SocketChannel> fillers = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        SocketChannel filler = SocketChannel.open();
        filler.configureBlocking(false);
        filler.connect(acceptor.getLocalSocketAddress());
        fillers.add(filler);
      }
      PeerClient client = peers.client(Peers.patientSettings());

      assertThat(failure(call(client, addressOf(acceptor))))
          .isEqualTo(PeerException.Type.UNREACHABLE);
      for (SocketChannel filler : fillers) {
        filler.close();
      }
    }
  }

  @Test
  void heartbeatsKeepAnIdleConnectionOpen() throws Exception {
    PeerServer server = peers.server(Peers.settings(), Peers.done());
    PeerClient client = peers.client(Peers.settings());
    Peers.await(call(client, server.address()));

    await().atMost(LIMIT).until(() -> peers.clientCount("received.upkeep.messages") >= 20);

    assertThat(Peers.await(call(client, server.address()))).isEqualTo(new Done());
    assertThat(peers.clientCount("connected")).isEqualTo(1);
  }

  @Test
  void silenceDuringOwnPauseClosesNoConnection() throws Exception {
    PeerServer server = peers.server(Peers.patientSettings(), Peers.done());
    PeerClient client = peers.client(Peers.settings().withHeartbeat(50, 300));
    CompletableFuture<PeerReply> paused =
        call(client, server.address())
            .whenComplete((reply, failure) -> sleepUninterruptibly(Duration.ofSeconds(1)));
    Peers.await(paused); // The client's I/O thread stood still meanwhile.

    assertThat(Peers.await(call(client, server.address()))).isEqualTo(new Done());
    assertThat(peers.clientCount("connected")).isEqualTo(1);
  }

  @Test
  void pendingCallsFailTypedWhenTheServerDies() throws Exception {
    PeerServer server = peers.server(Peers.settings(), this::hold);
    PeerClient client = peers.client(Peers.settings());
    CompletableFuture<PeerReply> pending = call(client, server.address());
    assertThat(nextHeld()).isNotNull();

    server.stop();

    assertThat(failure(pending)).isEqualTo(PeerException.Type.NO_ANSWER);
    assertThat(failure(call(client, server.address()))).isEqualTo(PeerException.Type.UNREACHABLE);
  }

  @Test
  void peerThatComesUpIsReachedAfterTheBackoff() throws Exception {
    PeerClient client = peers.client(Peers.settings());
    PeerServer first = peers.server(Peers.settings(), Peers.done());
    String address = first.address();
    first.stop();
    assertThat(failure(call(client, address))).isEqualTo(PeerException.Type.UNREACHABLE);

    peers.server(address, Peers.settings(), Peers.done());

    await()
        .atMost(LIMIT)
        .ignoreExceptions()
        .until(() -> Peers.await(call(client, address)).equals(new Done()));
  }

  @Test
  void callsBeyondTheLimitAreNotSent() throws Exception {
    PeerSettings settings = Peers.settings().withLimits(1 << 20, 4 << 20, 2);
    PeerServer server = peers.server(Peers.settings(), this::hold);
    PeerClient client = peers.client(settings);
    final CompletableFuture<PeerReply> first = call(client, server.address());
    final CompletableFuture<PeerReply> second = call(client, server.address());

    assertThat(failure(call(client, server.address()))).isEqualTo(PeerException.Type.OVERLOADED);

    nextHeld().complete(new Done());
    nextHeld().complete(new Done());
    assertThat(Peers.await(first)).isEqualTo(new Done());
    assertThat(Peers.await(second)).isEqualTo(new Done());
  }

  @Test
  void bytesBeyondTheLimitAreNotQueuedForPeerThatDoesNotRead() throws Exception {
    PeerSettings settings = Peers.patientSettings().withLimits(1 << 16, 1 << 18, 10_000);
    try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      PeerClient client = peers.client(settings);
      PeerRequest large = new StoreIntent("kano", List.of("x".repeat(60_000)));
      List<CompletableFuture<PeerReply>> calls =
          Arrays.asList(new CompletableFuture<?>[1_000]).stream()
              .map(ignored -> client.call(addressOf(acceptor), large, Peers.CALL_MS))
              .toList();

      await().atMost(LIMIT).until(() -> peers.clientCount("overloaded") > 0);
      assertThat(failure(calls.get(999))).isEqualTo(PeerException.Type.OVERLOADED);
    }
  }

  @Test
  void requestThatIsTooLargeIsRefusedUnsent() throws Exception {
    PeerServer server = peers.server(Peers.settings(), Peers.done());
    PeerClient client = peers.client(Peers.settings().withLimits(4_096, 4_096, 10));
    PeerRequest large = new StoreIntent("kano", List.of("x".repeat(4_096)));

    Refused refused = (Refused) Peers.await(client.call(server.address(), large, Peers.CALL_MS));

    assertThat(refused.type()).isEqualTo(PeerErrorType.BAD_REQUEST);
    assertThat(Peers.await(call(client, server.address()))).isEqualTo(new Done());
  }

  @Test
  void stopLetsCallsInFlightFinish() throws Exception {
    PeerHandler handler =
        request -> REQUEST.equals(request) ? hold(request) : Peers.done().handle(request);
    PeerServer server = peers.server(Peers.settings(), handler);
    PeerClient client = peers.client(Peers.settings().withStopGraceMs(Peers.CALL_MS));
    CompletableFuture<PeerReply> pending = call(client, server.address());
    final CompletableFuture<PeerReply> pendingHeld = nextHeld();

    final CompletableFuture<Void> stopped = CompletableFuture.runAsync(client::stop);
    await().atMost(LIMIT).until(() -> isRefused(client, server.address()));
    pendingHeld.complete(new Done());

    assertThat(Peers.await(pending)).isEqualTo(new Done());
    await().atMost(LIMIT).until(stopped::isDone);
  }

  private static boolean isRefused(PeerClient client, String address) {
    return client.call(address, new FetchIntents("kano"), Peers.CALL_MS).isCompletedExceptionally();
  }

  private CompletableFuture<PeerReply> nextHeld() throws InterruptedException {
    return requireNonNull(held.poll(Peers.CALL_MS, TimeUnit.MILLISECONDS));
  }

  private CompletableFuture<PeerReply> hold(PeerRequest request) {
    CompletableFuture<PeerReply> reply = new CompletableFuture<>();
    held.add(reply);
    return reply;
  }

  private static CompletableFuture<PeerReply> call(PeerClient client, String address) {
    return client.call(address, REQUEST, Peers.CALL_MS);
  }

  private static PeerException.Type failure(CompletableFuture<PeerReply> call) {
    return assertThrows(PeerException.class, () -> Peers.await(call)).type();
  }

  private static String addressOf(ServerSocket acceptor) {
    return "127.0.0.1:" + acceptor.getLocalPort();
  }
}
