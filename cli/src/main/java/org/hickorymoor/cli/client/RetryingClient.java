package org.hickorymoor.cli.client;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.random.RandomGenerator;
import org.hickorymoor.protocol.caller.CallerJson;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.jspecify.annotations.Nullable;

/**
 * Makes calls to the first server that answers, and repeats them within a budget of time.
 *
 * <p>Each server is tried once without a pause; further attempts come after a pause that grows and
 * that is never shorter than what a server asked for. A call that must not be repeated is sent
 * again only where the former attempt certainly had no effect.
 *
 * <p>Not thread-safe.
 */
public final class RetryingClient {

  private static final Backoff BACKOFF = new Backoff(100, 2_000);

  private final Transport transport;
  private final List<ServerAddress> servers;
  private final long budgetMs;
  private final Pacer pacer;
  private final RandomGenerator random;
  private int current;

  /**
   * Makes a client.
   *
   * @param transport sends one call to one server
   * @param servers servers in the order of preference
   * @param budgetMs time after the first failure in which a call is repeated
   * @param pacer clock and pauses
   * @param random source of the jitter
   */
  public RetryingClient(
      Transport transport,
      List<ServerAddress> servers,
      long budgetMs,
      Pacer pacer,
      RandomGenerator random) {
    checkArgument(!servers.isEmpty(), "expected at least one server");
    this.transport = transport;
    this.servers = List.copyOf(servers);
    this.budgetMs = budgetMs;
    this.pacer = pacer;
    this.random = random;
  }

  /**
   * Makes a call.
   *
   * @param call the call
   * @return the reply that answers it, or after the budget the last refusal
   * @throws UnreachableException if no server answered and the call had no effect
   * @throws OutcomeUnknownException if the call may have had an effect and no reply tells
   */
  public Reply send(Call call) throws UnreachableException, OutcomeUnknownException {
    Attempt attempt = attempt(call);
    // The first attempt may have been a long wait, which is not held against the repeats.
    long deadlineMs = pacer.nowMs() + budgetMs;
    boolean maybeSent = false;
    for (int attempts = 1; ; attempts++) {
      if (attempt.assessment.verdict() == Verdict.FINAL && attempt.reply != null) {
        return attempt.reply;
      }
      maybeSent |= attempt.assessment.verdict() == Verdict.UNKNOWN;
      long pauseMs = pauseMs(attempt, attempts);
      if (!mayRepeat(call, attempt, attempts) || pacer.nowMs() + pauseMs > deadlineMs) {
        return giveUp(call, attempt, maybeSent);
      }
      pacer.sleep(pauseMs);
      attempt = attempt(call);
    }
  }

  private Attempt attempt(Call call) {
    ServerAddress server = servers.get(current);
    try {
      Reply reply = transport.send(server, call);
      Assessment assessment = call.assess().apply(reply);
      if (assessment.verdict() == Verdict.UNKNOWN || assessment.verdict() == Verdict.ELSEWHERE) {
        useNextServer();
      }
      return new Attempt(assessment, reply, server + ": " + describe(reply));
    } catch (TransportException e) {
      useNextServer();
      Verdict verdict = e.maybeSent() ? Verdict.UNKNOWN : Verdict.NO_EFFECT;
      return new Attempt(new Assessment(verdict, 0), null, server + ": " + e.getMessage());
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

  private boolean mayRepeat(Call call, Attempt attempt, int attempts) {
    return switch (attempt.assessment.verdict()) {
      case UNKNOWN -> call.isRepeatable();
      case ELSEWHERE -> attempts < servers.size();
      // A refusal that names no time would be the same again.
      case NO_EFFECT -> attempt.reply == null || attempt.assessment.retryAfterMs() > 0;
      case FINAL -> false;
    };
  }

  private long pauseMs(Attempt attempt, int attempts) {
    long askedMs = attempt.assessment.retryAfterMs();
    if (askedMs == 0 && attempts < servers.size()) {
      return 0;
    }
    return Math.max(askedMs, BACKOFF.pauseMs(attempts, random));
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

  private record Attempt(Assessment assessment, @Nullable Reply reply, String description) {}
}
