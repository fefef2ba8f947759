package org.hickorymoor.cli.client;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.random.RandomGenerator;
import org.hickorymoor.protocol.caller.CallerJson;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.jspecify.annotations.Nullable;

/**
 * Sends calls to the first server that responds, with retries for a limited time.
 *
 * <p>The first attempts, one for each server, are made without delay unless a server requests one.
 * Further attempts use exponential backoff, with at least the delay that the server requested. A
 * call that is not retryable is retried only if the former attempt certainly had no effect.
 *
 * <p>Not thread-safe.
 */
public final class RetryingClient {

  private static final Backoff BACKOFF = new Backoff(100, 2_000);

  private final Transport transport;
  private final List<ServerAddress> servers;
  private final long retryBudgetMs;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private int current;

  /**
   * Creates a client.
   *
   * @param transport sends a call to a server
   * @param servers servers in order of preference
   * @param retryBudgetMs time after the first attempt within which a call is retried
   * @param clock clock for the retry budget and the delays
   * @param random source of randomness for the jitter
   */
  public RetryingClient(
      Transport transport,
      List<ServerAddress> servers,
      long retryBudgetMs,
      MonotonicClock clock,
      RandomGenerator random) {
    checkArgument(!servers.isEmpty(), "expected at least one server");
    this.transport = transport;
    this.servers = List.copyOf(servers);
    this.retryBudgetMs = retryBudgetMs;
    this.clock = clock;
    this.random = random;
  }

  /**
   * Sends a call.
   *
   * @param call the call
   * @return the response, or the last error response if the retry budget is exhausted
   * @throws UnreachableException if no server responded and the call had no effect
   * @throws OutcomeUnknownException if the call may have had an effect that no response confirmed
   */
  public Reply send(Call call) throws UnreachableException, OutcomeUnknownException {
    Attempt attempt = attempt(call);
    // The first attempt may include a long wait, which does not count against the retry budget.
    long deadlineMs = clock.nowMs() + retryBudgetMs;
    boolean maybeSent = false;
    for (int attempts = 1; ; attempts++) {
      if (attempt.result.outcome() == CallOutcome.FINAL && attempt.reply != null) {
        return attempt.reply;
      }
      maybeSent |= attempt.result.outcome() == CallOutcome.UNKNOWN;
      long delayMs = delayMs(attempt, attempts);
      if (!mayRetry(call, attempt, attempts) || clock.nowMs() + delayMs > deadlineMs) {
        return giveUp(call, attempt, maybeSent);
      }
      clock.sleep(delayMs);
      attempt = attempt(call);
    }
  }

  private Attempt attempt(Call call) {
    ServerAddress server = servers.get(current);
    try {
      Reply reply = transport.send(server, call);
      AttemptResult result = call.evaluate().apply(reply);
      if (result.outcome() == CallOutcome.UNKNOWN
          || result.outcome() == CallOutcome.NOT_KNOWN_TO_SERVER) {
        useNextServer();
      }
      return new Attempt(result, reply, server + ": " + describe(reply));
    } catch (TransportException e) {
      useNextServer();
      CallOutcome outcome = e.maybeSent() ? CallOutcome.UNKNOWN : CallOutcome.NO_EFFECT;
      return new Attempt(new AttemptResult(outcome, 0), null, server + ": " + e.getMessage());
    }
  }

  private static String describe(Reply reply) {
    String status = "status " + reply.status();
    try {
      return status + ", " + CallerJson.parseError(reply.body()).error().message();
    } catch (InvalidRecordException e) {
      return status;
    }
  }

  private void useNextServer() {
    current = (current + 1) % servers.size();
  }

  private boolean mayRetry(Call call, Attempt attempt, int attempts) {
    return switch (attempt.result.outcome()) {
      case UNKNOWN -> call.isRetryable();
      case NOT_KNOWN_TO_SERVER -> attempts < servers.size();
      // A rejection without a retry delay is permanent.
      case NO_EFFECT -> attempt.reply == null || attempt.result.retryAfterMs() > 0;
      case FINAL -> false;
    };
  }

  private long delayMs(Attempt attempt, int attempts) {
    long requestedDelayMs = attempt.result.retryAfterMs();
    if (requestedDelayMs == 0 && attempts < servers.size()) {
      return 0;
    }
    return Math.max(requestedDelayMs, BACKOFF.delayMs(attempts, random));
  }

  private Reply giveUp(Call call, Attempt last, boolean maybeSent)
      throws UnreachableException, OutcomeUnknownException {
    if (maybeSent && !call.isReadOnly()) {
      throw new OutcomeUnknownException(last.description);
    }
    if (last.reply != null) {
      return last.reply;
    }
    throw new UnreachableException(servers, last.description);
  }

  private record Attempt(AttemptResult result, @Nullable Reply reply, String description) {}
}
