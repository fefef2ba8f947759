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

/** Answers what other entry hosts ask. Thread-safe. */
final class PeerRequests implements PeerHandler {

  private static final long FORWARD_WITHIN_MS = 5_000;

  private final String domain;
  private final Supplier<Status> ownStatus;
  private final Consumer<Status> heard;
  private final ConfigService config;
  private final PeerHandler jobs;
  private final Neighbours neighbours;
  private final Router router;

  PeerRequests(
      String domain,
      Supplier<Status> ownStatus,
      Consumer<Status> heard,
      ConfigService config,
      PeerHandler jobs,
      Neighbours neighbours,
      Router router) {
    this.domain = domain;
    this.ownStatus = ownStatus;
    this.heard = heard;
    this.config = config;
    this.jobs = jobs;
    this.neighbours = neighbours;
    this.router = router;
  }

  @Override
  public CompletableFuture<PeerReply> handle(PeerRequest request) {
    if (request instanceof Status status) {
      heard.accept(status);
      return completedFuture(new PeerReply.StatusReply(ownStatus.get()));
    }
    if (request instanceof PeerRequest.FetchConfig fetch) {
      var records = config.recordsAfter(fetch.afterOffset());
      return completedFuture(new PeerReply.ConfigReply(config.status().appliedOffset(), records));
    }
    if (request instanceof PeerRequest.SubmitJob submit
        && !neighbours.isNeighbour(submit.entryHostId())) {
      return forward(submit);
    }
    return jobs.handle(request);
  }

  /** Brings a request of another failure domain to the coordinator of this one. */
  private CompletableFuture<PeerReply> forward(PeerRequest.SubmitJob submit) {
    long withinMs = Math.max(FORWARD_WITHIN_MS, submit.waitMs());
    return router
        .route(domain, submit, withinMs)
        .thenCompose(
            routed -> {
              PeerReply reply = routed.reply();
              return reply == null ? jobs.handle(submit) : completedFuture(reply);
            });
  }
}
