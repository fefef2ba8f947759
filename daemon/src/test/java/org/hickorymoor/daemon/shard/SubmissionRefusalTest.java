package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerErrorType;
import org.hickorymoor.daemon.peer.PeerException;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PeerPort;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.shard.Shard.StoreResult;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A record counts as possibly stored only if an attempt to store it may have taken effect. */
final class SubmissionRefusalTest {

  private static final byte[] VALUE = {1};

  private final VirtualTime time = new VirtualTime(1);
  private final ShardEventLoop loop = time.new HostEventLoop();
  private final FakeStore store = new FakeStore(time);
  private final List<Long> timeoutsMs = new ArrayList<>();
  private final SubmissionWriter writer =
      new SubmissionWriter(
          loop,
          new RecordingLog(store.port("host"), timeoutsMs),
          () -> KeyedStream.submissionPartitions().get(0));

  /** Records the timeouts of appends. */
  private record RecordingLog(KeyedLogPort log, List<Long> timeoutsMs) implements KeyedLogPort {
    @Override
    public CompletableFuture<Long> append(
        KeyedStream stream,
        List<Entry> entries,
        @Nullable Writer writer,
        long expectedEnd,
        long timeoutMs) {
      timeoutsMs.add(timeoutMs);
      return log.append(stream, entries, writer, expectedEnd, timeoutMs);
    }

    @Override
    public CompletableFuture<Chunk> read(
        KeyedStream stream, long fromOffset, long waitMs, long timeoutMs) {
      return log.read(stream, fromOffset, waitMs, timeoutMs);
    }

    @Override
    public CompletableFuture<Page> readNewest(
        KeyedStream stream, @Nullable String afterKey, long timeoutMs) {
      return log.readNewest(stream, afterKey, timeoutMs);
    }
  }

  private StoreResult store(PeerPort peers) {
    return store(peers, 2_800);
  }

  private StoreResult store(PeerPort peers, long withinMs) {
    CompletableFuture<StoreResult> result =
        new RelayedAppend(loop, writer, peers, () -> List.of("peer"), null, "s:job", VALUE)
            .start(withinMs);
    time.advanceUntil(4_000, result::isDone);
    return result.join();
  }

  /**
   * Guards against a 504 at the end of a caller's time, when a relay can't be answered any more,
   * although every attempt so far was refused.
   */
  @Test
  void noRelayBeginsThatCannotBeAnsweredInTime() {
    store.setBusy(true);

    assertThat(store((peer, request, timeoutMs) -> timeout(timeoutMs), 200))
        .isEqualTo(StoreResult.NO);
  }

  private CompletableFuture<PeerReply> timeout(long timeoutMs) {
    CompletableFuture<PeerReply> reply = new CompletableFuture<>();
    time.after(
        timeoutMs,
        () ->
            reply.completeExceptionally(new PeerException(PeerException.Type.NO_RESPONSE, "peer")));
    return reply;
  }

  /** Guards against a 504 where the limit of calls to a peer kept the relay from being sent. */
  @ParameterizedTest
  @EnumSource(PeerException.Type.class)
  void relayThatFailsIsUnknownOnlyIfThePeerMayHaveExecutedIt(PeerException.Type type) {
    store.setBusy(true);
    boolean mayBeStored = new PeerException(type, "").mayHaveTakenEffect();

    assertThat(
            store(
                (peer, request, timeoutMs) ->
                    CompletableFuture.failedFuture(new PeerException(type, "peer"))))
        .isEqualTo(mayBeStored ? StoreResult.UNKNOWN : StoreResult.NO);
  }

  /** Guards against a 504 where a peer rejected the relay, such as one of a large job. */
  @ParameterizedTest
  @EnumSource(PeerErrorType.class)
  void relayThatIsRefusedIsUnknownOnlyIfThePeerFailedMeanwhile(PeerErrorType type) {
    store.setBusy(true);

    assertThat(
            store(
                (peer, request, timeoutMs) ->
                    CompletableFuture.completedFuture(new PeerReply.Refused(type, "peer"))))
        .isEqualTo(type == PeerErrorType.INTERNAL ? StoreResult.UNKNOWN : StoreResult.NO);
  }

  /** Guards against a relay that begins too late to be answered and makes the outcome unknown. */
  @Test
  void noAttemptBeginsThatWouldBeRefusedAfterTheDeadline() {
    store.setBusy(true);

    assertThat(store(this::refuseLate)).isEqualTo(StoreResult.NO);
  }

  private CompletableFuture<PeerReply> refuseLate(
      String peer, PeerRequest request, long timeoutMs) {
    CompletableFuture<PeerReply> reply = new CompletableFuture<>();
    time.after(
        timeoutMs,
        () ->
            reply.completeExceptionally(
                new PeerException(PeerException.Type.NO_RESPONSE, "no answer from " + peer)));
    time.after(
        RelayedAppend.RELAYED_TIMEOUT_MS,
        () -> reply.complete(new PeerReply.Refused(PeerErrorType.OVERLOADED, peer)));
    return reply;
  }

  /** Guards against a 504 for a record that waited behind an append without an answer. */
  @Test
  void recordThatWasNeverSentIsRefusedAtItsDeadline() {
    store.answerMs(1_000);
    final CompletableFuture<Void> first = writer.append("s:first", VALUE, 1_600);
    time.advance(10);
    CompletableFuture<Void> waiting = writer.append("s:waiting", VALUE, 500);
    time.advance(600);

    assertThat(first.isDone()).isFalse();
    assertThat(mayHaveTakenEffect(waiting)).isFalse();
    time.advance(2_000);
    assertThat(store.submissions()).containsExactly("s:first");
  }

  /** Guards against the last retry of one record shortening the timeout of those beside it. */
  @Test
  void recordWithLittleTimeLeftDoesNotMakeTheOutcomeOfOthersUnknown() {
    store.answerMs(100);
    var unused = writer.append("s:first", VALUE, 1_600);
    time.advance(10);
    final CompletableFuture<Void> fresh = writer.append("s:fresh", VALUE, 1_600);
    final CompletableFuture<Void> late = writer.append("s:late", VALUE, 150);
    time.advance(300);

    assertThat(timeoutsMs.get(1)).isGreaterThan(1_400);
    assertThat(mayHaveTakenEffect(late)).isTrue();
    assertThat(fresh.isDone() && !fresh.isCompletedExceptionally()).isTrue();
  }

  private static boolean mayHaveTakenEffect(CompletableFuture<Void> append) {
    assertThat(append.isCompletedExceptionally()).isTrue();
    return append
        .handle((done, failure) -> ((PlatformException) failure).mayHaveTakenEffect())
        .join();
  }
}
