package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.peer.PeerReply.Done;
import org.hickorymoor.daemon.peer.PeerReply.ExplainReply;
import org.hickorymoor.daemon.peer.PeerReply.Refused;
import org.hickorymoor.daemon.peer.PeerRequest.ListWorkers;
import org.hickorymoor.daemon.peer.PeerRequest.SubmitJob;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerServerTest {

  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final PeerRequest REQUEST = new ListWorkers();
  private static final PeerReply LARGE = new ExplainReply(Collections.nCopies(500, "x".repeat(99)));

  private final Peers peers = new Peers();
  private final BlockingQueue<CompletableFuture<PeerReply>> held = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    peers.close();
  }

  @Test
  void malformedFrameEndsItsConnectionOnly() throws Exception {
    PeerServer server = peers.server(Peers.patientSettings(), Peers.done());
    PeerClient client = peers.client(Peers.patientSettings());
    Peers.await(call(client, server));

    try (RawPeer raw = RawPeer.connect(server.address())) {
      raw.send(new Frame(1, FrameKind.REQUEST, 1, new byte[] {99, 98, 97}));
      raw.awaitClosed();
    }

    assertThat(peers.serverCount("closed-malformed")).isEqualTo(1);
    assertThat(Peers.await(call(client, server))).isEqualTo(new Done());
    assertThat(peers.clientCount("connected")).isEqualTo(1);
  }

  @Test
  void randomBytesNeverKillTheServer() throws Exception {
    PeerServer server = peers.server(Peers.patientSettings(), Peers.done());
    Random random = new Random(61);

    for (int i = 0; i < 300; i++) {
      try (RawPeer raw = RawPeer.connect(server.address())) {
        raw.send(damaged(random));
      } catch (IOException e) {
        // The server may cut the connection while this end still writes.
      }
    }

    assertThat(Peers.await(call(peers.client(Peers.patientSettings()), server)))
        .isEqualTo(new Done());
    assertThat(peers.serverCount("closed-malformed")).isGreaterThan(0);
  }

  @Test
  void frameThatIsTooLargeIsAnsweredWithTheTypedError() throws Exception {
    PeerServer server =
        peers.server(Peers.patientSettings().withLimits(1_024, 1_024, 10), Peers.done());

    try (RawPeer raw = RawPeer.connect(server.address())) {
      byte[] header = new Frame(1, FrameKind.REQUEST, 7, new byte[2_000]).encode().array();
      raw.send(Arrays.copyOf(header, Frame.MAX_HEADER_BYTES));

      Frame error = raw.read(FrameKind.ERROR);
      assertThat(error.id()).isEqualTo(7);
      assertThat(FrameError.decode(error.body()).type()).isEqualTo(FrameErrorType.TOO_LARGE);
      raw.awaitClosed();
    }
  }

  @Test
  void unknownVersionIsRefusedWholeAndTheConnectionGoesOn() throws Exception {
    PeerServer server = peers.server(Peers.patientSettings(), Peers.done());
    byte[] body = RequestCodec.CODEC.encode(REQUEST);

    try (RawPeer raw = RawPeer.connect(server.address())) {
      raw.send(new Frame(9, FrameKind.REQUEST, 5, body));
      raw.send(new Frame(1, FrameKind.REQUEST, 6, body));

      Frame error = raw.read(FrameKind.ERROR);
      assertThat(error.id()).isEqualTo(5);
      assertThat(FrameError.decode(error.body()).type())
          .isEqualTo(FrameErrorType.UNSUPPORTED_VERSION);
      assertThat(raw.read(FrameKind.REPLY).id()).isEqualTo(6);
    }
  }

  @Test
  void peersOfDifferentVersionsUnderstandEachOther() throws Exception {
    PeerSettings oldest = Peers.settings().withMaxVersion(BodyVersion.OLDEST);
    PeerHandler large = request -> CompletableFuture.completedFuture(LARGE);
    PeerServer newServer = peers.server(Peers.settings(), large);
    PeerServer oldServer = peers.server(oldest, large);
    PeerClient newClient = peers.client(Peers.settings());
    PeerClient oldClient = peers.client(oldest);

    for (int i = 0; i < 3; i++) {
      assertThat(Peers.await(call(newClient, oldServer))).isEqualTo(LARGE);
      assertThat(Peers.await(call(oldClient, newServer))).isEqualTo(LARGE);
      assertThat(Peers.await(call(newClient, newServer))).isEqualTo(LARGE);
    }
  }

  @Test
  void newestVersionSendsLargeRepliesInFewerBytes() throws Exception {
    PeerServer server =
        peers.server(Peers.settings(), request -> CompletableFuture.completedFuture(LARGE));
    PeerClient client = peers.client(Peers.settings());
    Peers.await(call(client, server)); // The hello has come before the first reply.
    long firstBytes = peers.clientCount("received.list-workers.bytes");

    Peers.await(call(client, server));

    long secondBytes = peers.clientCount("received.list-workers.bytes") - firstBytes;
    assertThat(secondBytes).isLessThan(firstBytes / 10);
  }

  @Test
  void replyThatIsTooLargeFailsItsCallTyped() throws Exception {
    PeerSettings settings = Peers.settings().withMaxVersion(1).withLimits(4_096, 4_096, 10);
    PeerServer server = peers.server(settings, request -> CompletableFuture.completedFuture(LARGE));
    PeerClient client = peers.client(Peers.settings());

    PeerException e = assertThrows(PeerException.class, () -> Peers.await(call(client, server)));

    assertThat(e.type()).isEqualTo(PeerException.Type.BAD_ANSWER);
    assertThat(peers.serverCount("reply-too-large")).isEqualTo(1);
  }

  @Test
  void handlerThatThrowsIsAnsweredWithInternal() throws Exception {
    PeerServer server =
        peers.server(
            Peers.settings(),
            request -> {
              throw new IllegalStateException("broken");
            });

    Refused refused = (Refused) Peers.await(call(peers.client(Peers.settings()), server));

    assertThat(refused.type()).isEqualTo(PeerErrorType.INTERNAL);
  }

  @Test
  void readerThatDoesNotReadIsCutOff() throws Exception {
    PeerSettings settings =
        Peers.patientSettings().withMaxVersion(1).withLimits(1 << 17, 1 << 17, 10_000);
    PeerServer server = peers.server(settings, request -> CompletableFuture.completedFuture(LARGE));
    byte[] body = RequestCodec.CODEC.encode(REQUEST);

    try (RawPeer raw = RawPeer.connect(server.address())) {
      for (int id = 1; id < 1_000; id++) {
        raw.send(new Frame(1, FrameKind.REQUEST, id, body));
      }

      await().atMost(LIMIT).until(() -> peers.serverCount("closed-slow-reader") == 1);
    }

    assertThat(Peers.await(call(peers.client(Peers.patientSettings()), server))).isEqualTo(LARGE);
  }

  @Test
  void stopAnswersWhatIsInFlightAndRefusesTheRest() throws Exception {
    PeerServer server =
        peers.server(Peers.patientSettings().withStopGraceMs(Peers.CALL_MS), this::hold);
    PeerClient client = peers.client(Peers.patientSettings());
    CompletableFuture<PeerReply> pending = call(client, server);
    final CompletableFuture<PeerReply> pendingHeld = nextHeld();

    try (RawPeer raw = RawPeer.connect(server.address())) {
      raw.send(new Frame(1, FrameKind.REQUEST, 1, RequestCodec.CODEC.encode(REQUEST)));
      nextHeld().complete(new Done());
      raw.read(FrameKind.REPLY);
      final CompletableFuture<Void> stopped = CompletableFuture.runAsync(server::stop);
      raw.read(FrameKind.GO_AWAY);
      raw.send(new Frame(1, FrameKind.REQUEST, 2, RequestCodec.CODEC.encode(REQUEST)));

      Refused refused = (Refused) ReplyCodec.CODEC.decode(raw.read(FrameKind.REPLY).body());
      assertThat(refused.type()).isEqualTo(PeerErrorType.STOPPING);
      pendingHeld.complete(new Done());
      assertThat(Peers.await(pending)).isEqualTo(new Done());
      raw.close();
      await().atMost(LIMIT).until(stopped::isDone);
    }
  }

  @Test
  void trafficIsCountedPerPurposeAndLink() throws Exception {
    PeerServer server = peers.server(Peers.settings(), Peers.done());
    PeerClient client = peers.client(Peers.settings());
    PeerAddress address = new PeerAddress(server.address(), "abuja", "centre");
    PeerRequest submit = new SubmitJob("j1", "e1", Peers.spec("{}"), 0);

    Peers.await(client.call(address, submit, Peers.CALL_MS));

    assertThat(peers.clientCount("sent.submit-job.messages")).isEqualTo(1);
    assertThat(peers.clientCount("received.submit-job.messages")).isEqualTo(1);
    long sentBytes = peers.clientCount("sent.submit-job.bytes");
    assertThat(sentBytes).isEqualTo(peers.serverCount("received.submit-job.bytes"));
    assertThat(peers.clientCount("sent.link.centre.abuja.bytes")).isAtLeast(sentBytes);
    assertThat(peers.serverCount("received.link.north.kano.bytes")).isAtLeast(sentBytes);
  }

  private CompletableFuture<PeerReply> nextHeld() throws InterruptedException {
    return requireNonNull(held.poll(Peers.CALL_MS, TimeUnit.MILLISECONDS));
  }

  private CompletableFuture<PeerReply> hold(PeerRequest request) {
    CompletableFuture<PeerReply> reply = new CompletableFuture<>();
    held.add(reply);
    return reply;
  }

  private static CompletableFuture<PeerReply> call(PeerClient client, PeerServer server) {
    return client.call(server.address(), REQUEST, Peers.CALL_MS);
  }

  /** A good frame with some bytes changed, or nothing but noise. */
  private static byte[] damaged(Random random) {
    byte[] body = RequestCodec.CODEC.encode(new SubmitJob("j1", "e1", Peers.spec("{}"), 0));
    byte[] bytes = new Frame(1, FrameKind.REQUEST, 3, body).encode().array();
    if (random.nextInt(4) == 0) {
      random.nextBytes(bytes);
    }
    for (int i = 0; i < 1 + random.nextInt(5); i++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
    }
    return bytes;
  }
}
