package org.hickorymoor.daemon.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.hickorymoor.daemon.peer.PeerErrorType;
import org.hickorymoor.daemon.peer.PeerException;
import org.hickorymoor.daemon.peer.PeerHandler;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.jspecify.annotations.Nullable;

/**
 * Brings a request to the coordinator of a failure domain, and to the next one if that goes away.
 *
 * <p>Requests are idempotent by key or job id, so one that may have been delivered is sent again;
 * the answer says whether that happened. Safe for use by several threads. Futures never fail.
 */
public final class Router {

  private static final long FIRST_BACK_OFF_MS = 25;
  private static final long MAX_BACK_OFF_MS = 400;
  private static final long MIN_CALL_MS = 50;

  /** Calls a peer. */
  @FunctionalInterface
  public interface Calls {

    /**
     * Calls a peer.
     *
     * @param address ip:port of its peer interface
     * @param request what to ask
     * @param timeoutMs time for the whole call
     * @return the reply; fails with a {@link PeerException} only
     */
    CompletableFuture<PeerReply> call(String address, PeerRequest request, long timeoutMs);
  }

  private final String domain;
  private final Directory directory;
  private final PeerHandler local;
  private final Calls calls;
  private final LongSupplier clockMs;
  private final RandomGenerator random;

  /**
   * Makes a router.
   *
   * @param domain failure domain of this host
   * @param directory knows where other hosts are
   * @param local answers as this host's own coordinator, or refuses
   * @param calls calls peers
   * @param clockMs monotonic time
   * @param random source of jitter
   */
  public Router(
      String domain,
      Directory directory,
      PeerHandler local,
      Calls calls,
      LongSupplier clockMs,
      RandomGenerator random) {
    this.domain = domain;
    this.directory = directory;
    this.local = local;
    this.calls = calls;
    this.clockMs = clockMs;
    this.random = random;
  }

  /**
   * Routes a request.
   *
   * @param toDomain failure domain whose coordinator is to answer
   * @param request what to ask
   * @param withinMs time after which no answer is of use
   * @return the answer, or none
   */
  public CompletableFuture<Routed> route(String toDomain, PeerRequest request, long withinMs) {
    CompletableFuture<Routed> outcome = new CompletableFuture<>();
    new Attempt(toDomain, request, clockMs.getAsLong() + withinMs, outcome).run();
    return outcome;
  }

  private synchronized long jitterMs(long boundMs) {
    return random.nextLong(boundMs + 1);
  }

  /** One request on its way, tried until it is answered or its time has passed. */
  private final class Attempt {
    private final String toDomain;
    private final PeerRequest request;
    private final long deadlineMs;
    private final CompletableFuture<Routed> outcome;
    private long backOffMs = FIRST_BACK_OFF_MS;
    private boolean maybeDelivered;

    private Attempt(
        String toDomain, PeerRequest request, long deadlineMs, CompletableFuture<Routed> outcome) {
      this.toDomain = toDomain;
      this.request = request;
      this.deadlineMs = deadlineMs;
      this.outcome = outcome;
    }

    private void run() {
      long leftMs = deadlineMs - clockMs.getAsLong();
      if (leftMs < MIN_CALL_MS) {
        outcome.complete(new Routed(null, maybeDelivered));
        return;
      }
      call(leftMs).whenComplete(this::answered);
    }

    private CompletableFuture<PeerReply> call(long timeoutMs) {
      if (!toDomain.equals(domain)) {
        return remote(directory.entryAddressIn(toDomain), timeoutMs);
      }
      Optional<String> coordinator = directory.coordinatorAddress();
      return coordinator.isPresent() ? remote(coordinator, timeoutMs) : local.handle(request);
    }

    private CompletableFuture<PeerReply> remote(Optional<String> address, long timeoutMs) {
      return address.map(to -> calls.call(to, request, timeoutMs)).orElseGet(Router::nobody);
    }

    private void answered(@Nullable PeerReply reply, @Nullable Throwable failure) {
      if (reply instanceof PeerReply.Refused refused && isTransient(refused.type())) {
        maybeDelivered |= refused.type() == PeerErrorType.STOPPING;
        again();
      } else if (reply != null) {
        outcome.complete(new Routed(reply, maybeDelivered));
      } else {
        maybeDelivered |= mayHaveArrived(failure);
        again();
      }
    }

    private void again() {
      long waitMs = backOffMs / 2 + jitterMs(backOffMs / 2);
      backOffMs = Math.min(MAX_BACK_OFF_MS, 2 * backOffMs);
      CompletableFuture.delayedExecutor(waitMs, TimeUnit.MILLISECONDS).execute(this::run);
    }
  }

  private static CompletableFuture<PeerReply> nobody() {
    return CompletableFuture.completedFuture(
        new PeerReply.Refused(PeerErrorType.NOT_COORDINATOR, "no host is known to answer"));
  }

  private static boolean isTransient(PeerErrorType type) {
    return type == PeerErrorType.NOT_COORDINATOR || type == PeerErrorType.STOPPING;
  }

  private static boolean mayHaveArrived(@Nullable Throwable failure) {
    Throwable cause = failure;
    if (failure instanceof CompletionException && failure.getCause() != null) {
      cause = failure.getCause();
    }
    return !(cause instanceof PeerException e && e.type() == PeerException.Type.UNREACHABLE);
  }
}
