package org.hickorymoor.cli.client;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class RetryingClientTest {

  private static final long RETRY_BUDGET_MS = 5_000;
  private static final Call CELL = Call.get("/v1/cell", 0);
  private static final Call PUBLISH =
      new Call("POST", "/v1/config", "{}", 0, false, reply -> AttemptResult.FINAL);

  private final FakeTransport transport = new FakeTransport();
  private final FakeClock clock = new FakeClock();

  private RetryingClient client(String servers) {
    return new RetryingClient(
        transport,
        ServerAddress.parseList(servers),
        RETRY_BUDGET_MS,
        clock,
        new SplittableRandom(31));
  }

  @Test
  void triesNextServerWithoutDelay() throws Exception {
    transport.thenNoConnection().thenReply(200, "{}");

    client("a:1,b:1").send(CELL);

    assertThat(transport.calls).containsExactly("a GET /v1/cell", "b GET /v1/cell").inOrder();
    assertThat(clock.sleepsMs).containsExactly(0L);
  }

  @Test
  void keepsUsingServerThatResponded() throws Exception {
    transport.thenNoConnection().thenReply(200, "{}");
    RetryingClient client = client("a:1,b:1");

    client.send(CELL);
    client.send(CELL);

    assertThat(transport.calls.get(2)).startsWith("b ");
  }

  @Test
  void givesUpAfterRetryBudgetWithIncreasingDelays() {
    transport.thenNoConnection();

    assertThrows(UnreachableException.class, () -> client("a:1").send(CELL));

    assertThat(clock.nowMs()).isAtMost(RETRY_BUDGET_MS);
    assertThat(transport.calls.size()).isAtMost(12);
    assertThat(clock.sleepsMs.get(3)).isGreaterThan(clock.sleepsMs.get(0));
  }

  @Test
  void firstAttemptDoesNotCountAgainstRetryBudget() throws Exception {
    transport
        .then(
            (server, call) -> {
              clock.sleep(6 * RETRY_BUDGET_MS);
              throw new TransportException("connection lost", true);
            })
        .thenReply(200, "{}");

    assertThat(client("a:1").send(CELL).status()).isEqualTo(200);
  }

  @Test
  void retriesNonRetryableCallIfNotSent() throws Exception {
    transport.thenNoConnection().thenReply(200, "{}");

    assertThat(client("a:1,b:1").send(PUBLISH).status()).isEqualTo(200);
  }

  @Test
  void doesNotRetryNonRetryableCallThatMayHaveBeenReceived() {
    transport.thenConnectionLost().thenReply(200, "{}");

    assertThrows(OutcomeUnknownException.class, () -> client("a:1,b:1").send(PUBLISH));

    assertThat(transport.calls).hasSize(1);
  }

  @Test
  void waitsForDelayRequestedByServer() throws Exception {
    transport.then((server, call) -> new Reply(503, "{}", 1_700)).thenReply(200, "{}");

    client("a:1,b:1").send(CELL);

    assertThat(clock.sleepsMs.get(0)).isAtLeast(1_700);
  }

  @Test
  void returnsLastErrorOfReadAfterRetryBudget() throws Exception {
    transport.thenReply(503, "out");

    assertThat(client("a:1").send(CELL)).isEqualTo(new Reply(503, "out", 0));
  }

  @Test
  void outcomeOfChangeIsUnknownIfConnectionWasLostOnce() {
    transport.thenConnectionLost().thenNoConnection();

    assertThrows(
        OutcomeUnknownException.class,
        () -> client("a:1").send(Call.idempotent("PUT", "/v1/workers/w/drain")));
  }

  @Test
  void rejectsAddressWithoutPort() {
    assertThrows(IllegalArgumentException.class, () -> ServerAddress.parseList("a:1,b"));
    assertThat(ServerAddress.parseList("a:1, [::1]:2"))
        .isEqualTo(List.of(new ServerAddress("a", 1), new ServerAddress("::1", 2)));
  }
}
