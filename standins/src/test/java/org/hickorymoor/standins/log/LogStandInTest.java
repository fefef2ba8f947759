package org.hickorymoor.standins.log;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.hickorymoor.protocol.platform.AppendCommand;
import org.hickorymoor.protocol.platform.AppendReply;
import org.hickorymoor.protocol.platform.LogRecord;
import org.hickorymoor.protocol.platform.ReadReply;
import org.hickorymoor.standins.JsonHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class LogStandInTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private LogStandIn log;
  private JsonHttpClient client;

  @AfterEach
  void stop() throws Exception {
    client.stop();
    log.stop();
  }

  @Test
  void offsetsAreIndependentPerStream() throws Exception {
    start(LogSettings.defaults());

    assertThat(append("a", "x")).isEqualTo(0);
    assertThat(append("a", "y")).isEqualTo(1);
    assertThat(append("b", "z")).isEqualTo(0);
    ReadReply reply = client.get("/v1/streams/a?from=1&max=10", ReadReply.class);
    assertThat(reply.records()).containsExactly(new LogRecord(1, "y"));
    assertThat(reply.endOffset()).isEqualTo(2);
  }

  @Test
  void waitingReadReturnsOnAppend() throws Exception {
    start(LogSettings.defaults());
    CompletableFuture<ReadReply> waiting =
        client.getAsync("/v1/streams/a?from=0&max=10&waitMs=600000", ReadReply.class);

    append("a", "x");

    assertThat(waiting.get().records()).containsExactly(new LogRecord(0, "x"));
  }

  @Test
  void lostReplyLeavesRecordInStream() throws Exception {
    start(LogSettings.defaults());
    client.postRaw("/v1/faults", Map.of("loseReplies", 1));

    assertThrows(Exception.class, () -> append("a", "x"));

    assertThat(log.read("a", 0, 10).records()).containsExactly(new LogRecord(0, "x"));
    assertThat(append("a", "y")).isEqualTo(1);
  }

  @Test
  void appendRateLimitSpansAllStreams() throws Exception {
    start(LogSettings.defaults().withAppendsPerSecond(0.001));
    append("a", "x");

    int status = client.postRaw("/v1/streams/b/append", new AppendCommand("y")).getStatus();

    assertThat(status).isEqualTo(429);
    assertThat(log.read("b", 0, 10).endOffset()).isEqualTo(0);
  }

  @Test
  void countRetentionMovesStartOffset() throws Exception {
    start(LogSettings.defaults().withRetention(3_600_000, 2));
    append("a", "x");
    append("a", "y");
    append("a", "z");

    ReadReply reply = client.get("/v1/streams/a?from=0&max=10", ReadReply.class);

    assertThat(reply.startOffset()).isEqualTo(1);
    assertThat(reply.records()).containsExactly(new LogRecord(1, "y"), new LogRecord(2, "z"));
  }

  @Test
  void timeRetentionMovesStartOffsetWithoutAppends() throws Exception {
    start(LogSettings.defaults().withRetention(50, 100));
    append("a", "x");

    await().atMost(TIMEOUT).until(() -> log.read("a", 0, 10).startOffset() == 1);
    assertThat(log.read("a", 0, 10).records()).isEmpty();
  }

  @Test
  void refusedAppendHasNoEffect() throws Exception {
    start(LogSettings.defaults());
    log.setFaults(LogFaults.refusing());

    int status = client.postRaw("/v1/streams/a/append", new AppendCommand("x")).getStatus();

    assertThat(status).isEqualTo(503);
    assertThat(log.read("a", 0, 10).endOffset()).isEqualTo(0);
  }

  @Test
  void hangingAppendIsClosedAfterOutageWithoutEffect() throws Exception {
    start(LogSettings.defaults());
    log.setFaults(LogFaults.hanging());
    CompletableFuture<AppendReply> call =
        client.postAsync("/v1/streams/a/append", new AppendCommand("x"), AppendReply.class);
    await().atMost(TIMEOUT).until(() -> log.heldExchangeCount() == 1);
    assertThat(call.isDone()).isFalse();

    log.setFaults(LogFaults.NONE);

    assertThrows(ExecutionException.class, call::get);
    assertThat(log.read("a", 0, 10).endOffset()).isEqualTo(0);
  }

  @Test
  void slowAppendTakesEffectBeforeItsReply() throws Exception {
    start(LogSettings.defaults());
    log.setFaults(LogFaults.slow(600_000));
    CompletableFuture<AppendReply> call =
        client.postAsync("/v1/streams/a/append", new AppendCommand("x"), AppendReply.class);

    await().atMost(TIMEOUT).until(() -> log.read("a", 0, 10).endOffset() == 1);
    assertThat(call.isDone()).isFalse();
  }

  @Test
  void recordsSurviveRestart() throws Exception {
    start(LogSettings.defaults());
    append("a", "x");

    log.stop();
    log.start();
    client.closeIdleConnections();

    assertThat(append("a", "y")).isEqualTo(1);
  }

  @Test
  void recordAboveSizeLimitIsRejected() throws Exception {
    start(LogSettings.defaults());
    AppendCommand command = new AppendCommand("x".repeat(256 * 1024 + 1));

    assertThat(client.postRaw("/v1/streams/a/append", command).getStatus()).isEqualTo(400);
  }

  private void start(LogSettings settings) throws Exception {
    log = new LogStandIn(settings);
    log.start();
    client = new JsonHttpClient(log.address());
    client.start();
  }

  private long append(String stream, String data) throws Exception {
    AppendCommand command = new AppendCommand(data);
    return client.post("/v1/streams/" + stream + "/append", command, AppendReply.class).offset();
  }
}
