package org.hickorymoor.daemon;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hickorymoor.daemon.config.ConfigService;
import org.hickorymoor.daemon.entry.Router;
import org.hickorymoor.daemon.peer.PeerHandler;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.daemon.peer.PeerRequest.Status;

/** Handles requests from other entry hosts. Thread-safe. */
final class PeerRequestHandler implements PeerHandler {

  private static final long MIN_FORWARD_TIMEOUT_MS = 5_000;

  private final String domain;
  private final Supplier<Status> ownStatus;
  private final Consumer<Status> statusListener;
  private final ConfigService config;
  private final PeerHandler cellHandler;
  private final MembershipView membershipView;
  private final Router router;

  PeerRequestHandler(
      String domain,
      Supplier<Status> ownStatus,
      Consumer<Status> statusListener,
      ConfigService config,
      PeerHandler cellHandler,
      MembershipView membershipView,
      Router router) {
    this.domain = domain;
    this.ownStatus = ownStatus;
    this.statusListener = statusListener;
    this.config = config;
    this.cellHandler = cellHandler;
    this.membershipView = membershipView;
    this.router = router;
  }

  @Override
  public CompletableFuture<PeerReply> handle(PeerRequest request) {
    if (request instanceof Status status) {
      statusListener.accept(status);
      return completedFuture(new PeerReply.StatusReply(ownStatus.get()));
    }
    if (request instanceof PeerRequest.FetchConfig fetch) {
      var records = config.recordsAfter(fetch.afterOffset());
      return completedFuture(new PeerReply.ConfigReply(config.status().appliedOffset(), records));
    }
    if (request instanceof PeerRequest.SubmitJob submit
        && !membershipView.isDomainEntryHost(submit.entryHostId())) {
      return forward(submit);
    }
    return cellHandler.handle(request);
  }

  /** Forwards a submission from another failure domain to the coordinator of this one. */
  private CompletableFuture<PeerReply> forward(PeerRequest.SubmitJob submit) {
    long timeoutMs = Math.max(MIN_FORWARD_TIMEOUT_MS, submit.waitMs());
    return router
        .route(domain, submit, timeoutMs)
        .thenCompose(
            result -> {
              PeerReply reply = result.reply();
              return reply == null ? cellHandler.handle(submit) : completedFuture(reply);
            });
  }
}
