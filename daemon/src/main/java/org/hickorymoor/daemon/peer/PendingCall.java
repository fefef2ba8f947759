package org.hickorymoor.daemon.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.jspecify.annotations.Nullable;

/** A client call in progress. Confined to the event loop's thread, except for its future. */
final class PendingCall {

  private final PeerRequest request;
  private final long timeoutMs;
  private final Executor executor;
  private final Runnable onCompletion;
  private final CompletableFuture<PeerReply> future = new CompletableFuture<>();
  private Connection.@Nullable Outbound outbound;
  private EventLoop.@Nullable Timer deadline;
  private int id;

  /**
   * Creates a call.
   *
   * @param request the request
   * @param timeoutMs timeout for the whole call
   * @param executor completes the future
   * @param onCompletion run before the future is completed
   */
  PendingCall(PeerRequest request, long timeoutMs, Executor executor, Runnable onCompletion) {
    this.request = request;
    this.timeoutMs = timeoutMs;
    this.executor = executor;
    this.onCompletion = onCompletion;
  }

  PeerRequest request() {
    return request;
  }

  long timeoutMs() {
    return timeoutMs;
  }

  CompletableFuture<PeerReply> future() {
    return future;
  }

  int id() {
    return id;
  }

  Connection.@Nullable Outbound outbound() {
    return outbound;
  }

  void setDeadline(EventLoop.Timer timer) {
    deadline = timer;
  }

  EventLoop.@Nullable Timer deadline() {
    return deadline;
  }

  void setOutbound(int newId, Connection.Outbound newOutbound) {
    id = newId;
    outbound = newOutbound;
  }

  /** Returns whether the whole request was written to the socket. */
  boolean isSent() {
    return outbound != null && outbound.isSent();
  }

  void complete(PeerReply reply) {
    end(() -> future.complete(reply));
  }

  void fail(PeerException.Type type, String message) {
    PeerException failure = new PeerException(type, message);
    end(() -> future.completeExceptionally(failure));
  }

  private void end(Runnable completion) {
    onCompletion.run();
    try {
      executor.execute(completion);
    } catch (RejectedExecutionException e) {
      completion.run();
    }
  }
}
