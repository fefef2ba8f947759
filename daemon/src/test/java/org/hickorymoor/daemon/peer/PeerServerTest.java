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

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final PeerRequest REQUEST = new ListWorkers();
  private static final PeerReply LARGE = new ExplainReply(Collections.nCopies(500, "x".repeat(99)));

  private final PeerFixture fixture = new PeerFixture();
  private final BlockingQueue<CompletableFuture<PeerReply>> deferredReplies =
      new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Test
  void malformedFrameClosesOnlyItsConnection() throws Exception {
    PeerServer server =
        fixture.server(PeerFixture.longTimeoutSettings(), PeerFixture.doneHandler());
    PeerClient client = fixture.client(PeerFixture.longTimeoutSettings());
    PeerFixture.await(call(client, server));

    try (RawPeer raw = RawPeer.connect(server.address())) {
      raw.send(new Frame(1, FrameKind.REQUEST, 1, new byte[] {99, 98, 97}));
      raw.awaitClosed();
    }

    assertThat(fixture.serverCount("closed-malformed")).isEqualTo(1);
    assertThat(PeerFixture.await(call(client, server))).isEqualTo(new Done());
    assertThat(fixture.clientCount("connected")).isEqualTo(1);
  }

  @Test
  void serverSurvivesRandomBytes() throws Exception {
    PeerServer server =
        fixture.server(PeerFixture.longTimeoutSettings(), PeerFixture.doneHandler());
    Random random = new Random(61);

    for (int i = 0; i < 300; i++) {
      try (RawPeer raw = RawPeer.connect(server.address())) {
        raw.send(corruptedFrame(random));
      } catch (IOException e) {
        // The server may close the connection while this end is still writing.
      }
    }

    assertThat(PeerFixture.await(call(fixture.client(PeerFixture.longTimeoutSettings()), server)))
        .isEqualTo(new Done());
    assertThat(fixture.serverCount("closed-malformed")).isGreaterThan(0);
  }

  @Test
  void oversizedFrameIsRejectedAsTooLarge() throws Exception {
    PeerServer server =
        fixture.server(
            PeerFixture.longTimeoutSettings().withLimits(1_024, 1_024, 10),
            PeerFixture.doneHandler());

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
  void unsupportedVersionIsRejectedAndConnectionStaysOpen() throws Exception {
    PeerServer server =
        fixture.server(PeerFixture.longTimeoutSettings(), PeerFixture.doneHandler());
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
  void peersOfDifferentVersionsInteroperate() throws Exception {
    PeerSettings oldest = PeerFixture.settings().withMaxVersion(BodyVersion.OLDEST);
    PeerHandler large = request -> CompletableFuture.completedFuture(LARGE);
    PeerServer newServer = fixture.server(PeerFixture.settings(), large);
    PeerServer oldServer = fixture.server(oldest, large);
    PeerClient newClient = fixture.client(PeerFixture.settings());
    PeerClient oldClient = fixture.client(oldest);

    for (int i = 0; i < 3; i++) {
      assertThat(PeerFixture.await(call(newClient, oldServer))).isEqualTo(LARGE);
      assertThat(PeerFixture.await(call(oldClient, newServer))).isEqualTo(LARGE);
      assertThat(PeerFixture.await(call(newClient, newServer))).isEqualTo(LARGE);
    }
  }

  @Test
  void newestVersionCompressesLargeReplies() throws Exception {
    PeerServer server =
        fixture.server(PeerFixture.settings(), request -> CompletableFuture.completedFuture(LARGE));
    PeerClient client = fixture.client(PeerFixture.settings());
    PeerFixture.await(call(client, server)); // The version is negotiated after this call.
    long firstBytes = fixture.clientCount("received.list-workers.bytes");

    PeerFixture.await(call(client, server));

    long secondBytes = fixture.clientCount("received.list-workers.bytes") - firstBytes;
    assertThat(secondBytes).isLessThan(firstBytes / 10);
  }

  @Test
  void oversizedReplyFailsCallWithBadResponse() throws Exception {
    PeerSettings settings = PeerFixture.settings().withMaxVersion(1).withLimits(4_096, 4_096, 10);
    PeerServer server =
        fixture.server(settings, request -> CompletableFuture.completedFuture(LARGE));
    PeerClient client = fixture.client(PeerFixture.settings());

    PeerException e =
        assertThrows(PeerException.class, () -> PeerFixture.await(call(client, server)));

    assertThat(e.type()).isEqualTo(PeerException.Type.BAD_RESPONSE);
    assertThat(fixture.serverCount("reply-too-large")).isEqualTo(1);
  }

  @Test
  void handlerExceptionIsReportedAsInternal() throws Exception {
    PeerServer server =
        fixture.server(
            PeerFixture.settings(),
            request -> {
              throw new IllegalStateException("broken");
            });

    Refused refused =
        (Refused) PeerFixture.await(call(fixture.client(PeerFixture.settings()), server));

    assertThat(refused.type()).isEqualTo(PeerErrorType.INTERNAL);
  }

  @Test
  void slowReaderIsDisconnected() throws Exception {
    PeerSettings settings =
        PeerFixture.longTimeoutSettings().withMaxVersion(1).withLimits(1 << 17, 1 << 17, 10_000);
    PeerServer server =
        fixture.server(settings, request -> CompletableFuture.completedFuture(LARGE));
    byte[] body = RequestCodec.CODEC.encode(REQUEST);

    try (RawPeer raw = RawPeer.connect(server.address())) {
      for (int id = 1; id < 1_000; id++) {
        raw.send(new Frame(1, FrameKind.REQUEST, id, body));
      }

      await().atMost(TIMEOUT).until(() -> fixture.serverCount("closed-slow-reader") == 1);
    }

    assertThat(PeerFixture.await(call(fixture.client(PeerFixture.longTimeoutSettings()), server)))
        .isEqualTo(LARGE);
  }

  @Test
  void stopAnswersRequestsInFlightAndRefusesNewOnes() throws Exception {
    PeerServer server =
        fixture.server(
            PeerFixture.longTimeoutSettings().withStopGraceMs(PeerFixture.CALL_TIMEOUT_MS),
            this::deferReply);
    PeerClient client = fixture.client(PeerFixture.longTimeoutSettings());
    CompletableFuture<PeerReply> pending = call(client, server);
    final CompletableFuture<PeerReply> pendingDeferred = nextDeferredReply();

    try (RawPeer raw = RawPeer.connect(server.address())) {
      raw.send(new Frame(1, FrameKind.REQUEST, 1, RequestCodec.CODEC.encode(REQUEST)));
      nextDeferredReply().complete(new Done());
      raw.read(FrameKind.REPLY);
      final CompletableFuture<Void> stopped = CompletableFuture.runAsync(server::stop);
      raw.read(FrameKind.GO_AWAY);
      raw.send(new Frame(1, FrameKind.REQUEST, 2, RequestCodec.CODEC.encode(REQUEST)));

      Refused refused = (Refused) ReplyCodec.CODEC.decode(raw.read(FrameKind.REPLY).body());
      assertThat(refused.type()).isEqualTo(PeerErrorType.STOPPING);
      pendingDeferred.complete(new Done());
      assertThat(PeerFixture.await(pending)).isEqualTo(new Done());
      raw.close();
      await().atMost(TIMEOUT).until(stopped::isDone);
    }
  }

  @Test
  void trafficIsCountedPerPurposeAndLink() throws Exception {
    PeerServer server = fixture.server(PeerFixture.settings(), PeerFixture.doneHandler());
    PeerClient client = fixture.client(PeerFixture.settings());
    PeerAddress address = new PeerAddress(server.address(), "abuja", "centre");
    PeerRequest submit = new SubmitJob("j1", "e1", PeerFixture.spec("{}"), 0);

    PeerFixture.await(client.call(address, submit, PeerFixture.CALL_TIMEOUT_MS));

    assertThat(fixture.clientCount("sent.submit-job.messages")).isEqualTo(1);
    assertThat(fixture.clientCount("received.submit-job.messages")).isEqualTo(1);
    long sentBytes = fixture.clientCount("sent.submit-job.bytes");
    assertThat(sentBytes).isEqualTo(fixture.serverCount("received.submit-job.bytes"));
    assertThat(fixture.clientCount("sent.link.centre.abuja.bytes")).isAtLeast(sentBytes);
    assertThat(fixture.serverCount("received.link.north.kano.bytes")).isAtLeast(sentBytes);
  }

  private CompletableFuture<PeerReply> nextDeferredReply() throws InterruptedException {
    return requireNonNull(deferredReplies.poll(PeerFixture.CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS));
  }

  private CompletableFuture<PeerReply> deferReply(PeerRequest request) {
    CompletableFuture<PeerReply> reply = new CompletableFuture<>();
    deferredReplies.add(reply);
    return reply;
  }

  private static CompletableFuture<PeerReply> call(PeerClient client, PeerServer server) {
    return client.call(server.address(), REQUEST, PeerFixture.CALL_TIMEOUT_MS);
  }

  /** Returns a valid frame with a few bytes corrupted, or random bytes. */
  private static byte[] corruptedFrame(Random random) {
    byte[] body = RequestCodec.CODEC.encode(new SubmitJob("j1", "e1", PeerFixture.spec("{}"), 0));
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
