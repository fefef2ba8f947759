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

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final PeerRequest REQUEST = new ListWorkers();

  private final PeerFixture fixture = new PeerFixture();
  private final BlockingQueue<CompletableFuture<PeerReply>> deferredReplies =
      new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Test
  void outOfOrderRepliesAreMatchedToTheirCalls() throws Exception {
    PeerServer server = fixture.server(PeerFixture.settings(), this::deferReply);
    PeerClient client = fixture.client(PeerFixture.settings());
    final CompletableFuture<PeerReply> first = call(client, server.address());
    CompletableFuture<PeerReply> second = call(client, server.address());

    CompletableFuture<PeerReply> firstDeferred = nextDeferredReply();
    nextDeferredReply().complete(new ExplainReply(List.of("second")));
    assertThat(PeerFixture.await(second)).isEqualTo(new ExplainReply(List.of("second")));
    firstDeferred.complete(new ExplainReply(List.of("first")));

    assertThat(PeerFixture.await(first)).isEqualTo(new ExplainReply(List.of("first")));
    assertThat(fixture.clientCount("connected")).isEqualTo(1);
  }

  @Test
  void lateReplyIsDroppedAndCounted() throws Exception {
    PeerServer server = fixture.server(PeerFixture.settings(), this::deferReply);
    PeerClient client = fixture.client(PeerFixture.settings());
    CompletableFuture<PeerReply> early = call(client, server.address());
    nextDeferredReply().complete(new Done());
    PeerFixture.await(early);
    CompletableFuture<PeerReply> late = client.call(server.address(), REQUEST, 1_000);
    CompletableFuture<PeerReply> lateDeferred = nextDeferredReply();

    assertThat(failure(late)).isEqualTo(PeerException.Type.NO_RESPONSE);
    lateDeferred.complete(new ExplainReply(List.of("late")));

    CompletableFuture<PeerReply> next = call(client, server.address());
    nextDeferredReply().complete(new Done());
    assertThat(PeerFixture.await(next)).isEqualTo(new Done());
    assertThat(fixture.clientCount("reply-dropped")).isEqualTo(1);
    assertThat(fixture.clientCount("connected")).isEqualTo(1);
  }

  @Test
  void duplicateReplyIsDropped() throws Exception {
    try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      PeerClient client = fixture.client(PeerFixture.longTimeoutSettings());
      CompletableFuture<PeerReply> reply = call(client, addressOf(acceptor));
      try (RawPeer raw = new RawPeer(acceptor.accept())) {
        int id = raw.read(FrameKind.REQUEST).id();
        Frame answer = new Frame(1, FrameKind.REPLY, id, ReplyCodec.CODEC.encode(new Done()));
        raw.send(answer);
        raw.send(answer);

        assertThat(PeerFixture.await(reply)).isEqualTo(new Done());
        await().atMost(TIMEOUT).until(() -> fixture.clientCount("reply-dropped") == 1);
      }
    }
  }

  @Test
  void malformedReplyFailsOnlyItsCall() throws Exception {
    try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      PeerClient client = fixture.client(PeerFixture.longTimeoutSettings());
      CompletableFuture<PeerReply> bad = call(client, addressOf(acceptor));
      CompletableFuture<PeerReply> good = call(client, addressOf(acceptor));
      try (RawPeer raw = new RawPeer(acceptor.accept())) {
        int badId = raw.read(FrameKind.REQUEST).id();
        int goodId = raw.read(FrameKind.REQUEST).id();
        raw.send(new Frame(1, FrameKind.REPLY, badId, new byte[] {1, 2, 3}));
        raw.send(new Frame(1, FrameKind.REPLY, goodId, ReplyCodec.CODEC.encode(new Done())));

        assertThat(failure(bad)).isEqualTo(PeerException.Type.BAD_RESPONSE);
        assertThat(PeerFixture.await(good)).isEqualTo(new Done());
      }
    }
  }

  @Test
  void heartbeatTimeoutClosesSilentConnectionWhileNewOnesWork() throws Exception {
    PeerServer server = fixture.server(PeerFixture.settings(), PeerFixture.doneHandler());
    TcpProxy proxy = fixture.proxy(server.address());
    PeerClient client = fixture.client(PeerFixture.settings());
    assertThat(PeerFixture.await(call(client, proxy.address()))).isEqualTo(new Done());

    proxy.blackholeExistingConnections();
    assertThat(failure(call(client, proxy.address()))).isEqualTo(PeerException.Type.NO_RESPONSE);

    assertThat(PeerFixture.await(call(client, proxy.address()))).isEqualTo(new Done());
    assertThat(fixture.clientCount("closed-silent")).isEqualTo(1);
    await().atMost(TIMEOUT).until(() -> fixture.serverCount("closed-silent") == 1);
  }

  @Test
  void randomBytesInsteadOfReplyFailCallWithNoResponse() throws Exception {
    Random random = new Random(62);
    PeerSettings settings = PeerFixture.longTimeoutSettings();
    for (int i = 0; i < 100; i++) {
      try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        PeerClient client = fixture.client(settings);
        CompletableFuture<PeerReply> call = call(client, addressOf(acceptor));
        try (RawPeer raw = new RawPeer(acceptor.accept())) {
          byte[] randomBytes = new byte[1 + random.nextInt(40)];
          random.nextBytes(randomBytes);
          raw.read(FrameKind.REQUEST);
          raw.send(randomBytes);
        }
        assertThat(failure(call)).isEqualTo(PeerException.Type.NO_RESPONSE);
        client.stop();
      }
    }
  }

  @Test
  void connectTimeoutFailsCallAsUnreachable() throws Exception {
    try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<SocketChannel> fillers = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        SocketChannel filler = SocketChannel.open();
        filler.configureBlocking(false);
        filler.connect(acceptor.getLocalSocketAddress());
        fillers.add(filler);
      }
      PeerClient client = fixture.client(PeerFixture.longTimeoutSettings());

      assertThat(failure(call(client, addressOf(acceptor))))
          .isEqualTo(PeerException.Type.UNREACHABLE);
      for (SocketChannel filler : fillers) {
        filler.close();
      }
    }
  }

  @Test
  void heartbeatsKeepAnIdleConnectionOpen() throws Exception {
    PeerServer server = fixture.server(PeerFixture.settings(), PeerFixture.doneHandler());
    PeerClient client = fixture.client(PeerFixture.settings());
    PeerFixture.await(call(client, server.address()));

    await().atMost(TIMEOUT).until(() -> fixture.clientCount("received.upkeep.messages") >= 20);

    assertThat(PeerFixture.await(call(client, server.address()))).isEqualTo(new Done());
    assertThat(fixture.clientCount("connected")).isEqualTo(1);
  }

  @Test
  void connectionSurvivesPauseOfIoThread() throws Exception {
    PeerServer server =
        fixture.server(PeerFixture.longTimeoutSettings(), PeerFixture.doneHandler());
    PeerClient client = fixture.client(PeerFixture.settings().withHeartbeat(50, 300));
    CompletableFuture<PeerReply> paused =
        call(client, server.address())
            .whenComplete((reply, failure) -> sleepUninterruptibly(Duration.ofSeconds(1)));
    PeerFixture.await(paused); // The callback blocked the client's I/O thread past the timeout.

    assertThat(PeerFixture.await(call(client, server.address()))).isEqualTo(new Done());
    assertThat(fixture.clientCount("connected")).isEqualTo(1);
  }

  @Test
  void pendingCallsFailWithNoResponseWhenServerStops() throws Exception {
    PeerServer server = fixture.server(PeerFixture.settings(), this::deferReply);
    PeerClient client = fixture.client(PeerFixture.settings());
    CompletableFuture<PeerReply> pending = call(client, server.address());
    assertThat(nextDeferredReply()).isNotNull();

    server.stop();

    assertThat(failure(pending)).isEqualTo(PeerException.Type.NO_RESPONSE);
    assertThat(failure(call(client, server.address()))).isEqualTo(PeerException.Type.UNREACHABLE);
  }

  @Test
  void restartedPeerIsReachedAfterBackoff() throws Exception {
    PeerClient client = fixture.client(PeerFixture.settings());
    PeerServer first = fixture.server(PeerFixture.settings(), PeerFixture.doneHandler());
    String address = first.address();
    first.stop();
    assertThat(failure(call(client, address))).isEqualTo(PeerException.Type.UNREACHABLE);

    fixture.server(address, PeerFixture.settings(), PeerFixture.doneHandler());

    await()
        .atMost(TIMEOUT)
        .ignoreExceptions()
        .until(() -> PeerFixture.await(call(client, address)).equals(new Done()));
  }

  @Test
  void callsBeyondInFlightLimitFailAsOverloaded() throws Exception {
    PeerSettings settings = PeerFixture.settings().withLimits(1 << 20, 4 << 20, 2);
    PeerServer server = fixture.server(PeerFixture.settings(), this::deferReply);
    PeerClient client = fixture.client(settings);
    final CompletableFuture<PeerReply> first = call(client, server.address());
    final CompletableFuture<PeerReply> second = call(client, server.address());

    assertThat(failure(call(client, server.address()))).isEqualTo(PeerException.Type.OVERLOADED);

    nextDeferredReply().complete(new Done());
    nextDeferredReply().complete(new Done());
    assertThat(PeerFixture.await(first)).isEqualTo(new Done());
    assertThat(PeerFixture.await(second)).isEqualTo(new Done());
  }

  @Test
  void callsBeyondOutboundLimitFailAsOverloaded() throws Exception {
    PeerSettings settings = PeerFixture.longTimeoutSettings().withLimits(1 << 16, 1 << 18, 10_000);
    try (ServerSocket acceptor = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      PeerClient client = fixture.client(settings);
      PeerRequest large = new StoreIntent("kano", List.of("x".repeat(60_000)));
      List<CompletableFuture<PeerReply>> calls =
          Arrays.asList(new CompletableFuture<?>[1_000]).stream()
              .map(ignored -> client.call(addressOf(acceptor), large, PeerFixture.CALL_TIMEOUT_MS))
              .toList();

      await().atMost(TIMEOUT).until(() -> fixture.clientCount("overloaded") > 0);
      assertThat(failure(calls.get(999))).isEqualTo(PeerException.Type.OVERLOADED);
    }
  }

  @Test
  void oversizedRequestIsRefusedWithoutSending() throws Exception {
    PeerServer server = fixture.server(PeerFixture.settings(), PeerFixture.doneHandler());
    PeerClient client = fixture.client(PeerFixture.settings().withLimits(4_096, 4_096, 10));
    PeerRequest large = new StoreIntent("kano", List.of("x".repeat(4_096)));

    Refused refused =
        (Refused)
            PeerFixture.await(client.call(server.address(), large, PeerFixture.CALL_TIMEOUT_MS));

    assertThat(refused.type()).isEqualTo(PeerErrorType.BAD_REQUEST);
    assertThat(PeerFixture.await(call(client, server.address()))).isEqualTo(new Done());
  }

  @Test
  void stopWaitsForCallsInFlight() throws Exception {
    PeerHandler handler =
        request ->
            REQUEST.equals(request)
                ? deferReply(request)
                : PeerFixture.doneHandler().handle(request);
    PeerServer server = fixture.server(PeerFixture.settings(), handler);
    PeerClient client =
        fixture.client(PeerFixture.settings().withStopGraceMs(PeerFixture.CALL_TIMEOUT_MS));
    CompletableFuture<PeerReply> pending = call(client, server.address());
    final CompletableFuture<PeerReply> pendingDeferred = nextDeferredReply();

    final CompletableFuture<Void> stopped = CompletableFuture.runAsync(client::stop);
    await().atMost(TIMEOUT).until(() -> isRefused(client, server.address()));
    pendingDeferred.complete(new Done());

    assertThat(PeerFixture.await(pending)).isEqualTo(new Done());
    await().atMost(TIMEOUT).until(stopped::isDone);
  }

  private static boolean isRefused(PeerClient client, String address) {
    return client
        .call(address, new FetchIntents("kano"), PeerFixture.CALL_TIMEOUT_MS)
        .isCompletedExceptionally();
  }

  private CompletableFuture<PeerReply> nextDeferredReply() throws InterruptedException {
    return requireNonNull(deferredReplies.poll(PeerFixture.CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS));
  }

  private CompletableFuture<PeerReply> deferReply(PeerRequest request) {
    CompletableFuture<PeerReply> reply = new CompletableFuture<>();
    deferredReplies.add(reply);
    return reply;
  }

  private static CompletableFuture<PeerReply> call(PeerClient client, String address) {
    return client.call(address, REQUEST, PeerFixture.CALL_TIMEOUT_MS);
  }

  private static PeerException.Type failure(CompletableFuture<PeerReply> call) {
    return assertThrows(PeerException.class, () -> PeerFixture.await(call)).type();
  }

  private static String addressOf(ServerSocket acceptor) {
    return "127.0.0.1:" + acceptor.getLocalPort();
  }
}
