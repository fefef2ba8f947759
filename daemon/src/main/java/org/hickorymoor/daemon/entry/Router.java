package org.hickorymoor.daemon.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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
 * Routes requests to the coordinator of a failure domain. Retries until the timeout, so that
 * requests survive a change of coordinator.
 *
 * <p>Requests are idempotent by key or job id, so a request that may have been delivered is sent
 * again; {@link RoutingResult#maybeDelivered} reports this. Thread-safe. The returned futures never
 * fail.
 */
public final class Router {

  private static final long INITIAL_BACKOFF_MS = 25;
  private static final long MAX_BACKOFF_MS = 400;
  private static final long MIN_CALL_TIMEOUT_MS = 50;

  /** Sends requests to peers. */
  @FunctionalInterface
  public interface PeerCaller {

    /**
     * Calls a peer.
     *
     * @param address ip:port of its peer interface
     * @param request request to send
     * @param timeoutMs timeout for the whole call
     * @return the reply; fails only with a {@link PeerException}
     */
    CompletableFuture<PeerReply> call(String address, PeerRequest request, long timeoutMs);
  }

  private final String domain;
  private final PeerDirectory directory;
  private final PeerHandler local;
  private final PeerCaller peerCaller;
  private final LongSupplier clockMs;
  private final RandomGenerator random;

  /**
   * Creates a router.
   *
   * @param domain failure domain of this host
   * @param directory looks up the addresses of entry hosts
   * @param local handles requests on this host; refuses unless this host is the coordinator
   * @param peerCaller sends requests to peers
   * @param clockMs monotonic clock
   * @param random source of the retry jitter
   */
  public Router(
      String domain,
      PeerDirectory directory,
      PeerHandler local,
      PeerCaller peerCaller,
      LongSupplier clockMs,
      RandomGenerator random) {
    this.domain = domain;
    this.directory = directory;
    this.local = local;
    this.peerCaller = peerCaller;
    this.clockMs = clockMs;
    this.random = random;
  }

  /**
   * Routes a request.
   *
   * @param targetDomain failure domain whose coordinator handles the request
   * @param request request to send
   * @param timeoutMs timeout for all attempts together
   * @return outcome of the request
   */
  public CompletableFuture<RoutingResult> route(
      String targetDomain, PeerRequest request, long timeoutMs) {
    CompletableFuture<RoutingResult> result = new CompletableFuture<>();
    new PendingRequest(targetDomain, request, clockMs.getAsLong() + timeoutMs, result).run();
    return result;
  }

  private synchronized long jitterMs(long boundMs) {
    return random.nextLong(boundMs + 1);
  }

  /** A request that is retried with exponential backoff until it is answered or times out. */
  private final class PendingRequest {
    private final String targetDomain;
    private final PeerRequest request;
    private final long deadlineMs;
    private final CompletableFuture<RoutingResult> result;
    private long backoffMs = INITIAL_BACKOFF_MS;
    private boolean maybeDelivered;

    private PendingRequest(
        String targetDomain,
        PeerRequest request,
        long deadlineMs,
        CompletableFuture<RoutingResult> result) {
      this.targetDomain = targetDomain;
      this.request = request;
      this.deadlineMs = deadlineMs;
      this.result = result;
    }

    private void run() {
      long remainingMs = deadlineMs - clockMs.getAsLong();
      if (remainingMs < MIN_CALL_TIMEOUT_MS) {
        result.complete(new RoutingResult(null, maybeDelivered));
        return;
      }
      call(remainingMs).whenComplete(this::onReply);
    }

    private CompletableFuture<PeerReply> call(long timeoutMs) {
      if (!targetDomain.equals(domain)) {
        return callPeer(directory.entryAddressIn(targetDomain), timeoutMs);
      }
      Optional<String> coordinator = directory.coordinatorAddress();
      return coordinator.isPresent() ? callPeer(coordinator, timeoutMs) : local.handle(request);
    }

    private CompletableFuture<PeerReply> callPeer(Optional<String> address, long timeoutMs) {
      return address
          .map(to -> peerCaller.call(to, request, timeoutMs))
          .orElseGet(Router::noKnownHost);
    }

    private void onReply(@Nullable PeerReply reply, @Nullable Throwable failure) {
      if (reply instanceof PeerReply.Refused refused) {
        maybeDelivered |= mayHaveBeenExecuted(refused.type());
      }
      if (reply instanceof PeerReply.Refused refused && isTransient(refused.type())) {
        scheduleRetry();
      } else if (reply != null) {
        result.complete(new RoutingResult(reply, maybeDelivered));
      } else {
        maybeDelivered |= PeerException.mayHaveReachedPeer(failure);
        scheduleRetry();
      }
    }

    private void scheduleRetry() {
      long waitMs = backoffMs / 2 + jitterMs(backoffMs / 2);
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
      CompletableFuture.delayedExecutor(waitMs, TimeUnit.MILLISECONDS).execute(this::run);
    }
  }

  private static CompletableFuture<PeerReply> noKnownHost() {
    return CompletableFuture.completedFuture(
        new PeerReply.Refused(
            PeerErrorType.NOT_COORDINATOR, "no entry host of the failure domain is known"));
  }

  private static boolean isTransient(PeerErrorType type) {
    return type == PeerErrorType.NOT_COORDINATOR || type == PeerErrorType.STOPPING;
  }

  private static boolean mayHaveBeenExecuted(PeerErrorType type) {
    return type == PeerErrorType.STOPPING || type == PeerErrorType.INTERNAL;
  }
}
