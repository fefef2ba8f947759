package org.hickorymoor.daemon.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest.SubmitJob;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.RequestKey;

/**
 * Submits callers' jobs and turns what became of them into a truthful answer.
 *
 * <p>It says that a job was not run only if no coordinator can have started it. Safe for use by
 * several threads. Futures never fail.
 */
public final class JobService {

  private static final long MIN_ROUTING_TIMEOUT_MS = 5_000;
  private static final long RESPONSE_MARGIN_MS = 2_000;
  private static final long RETRY_AFTER_MS = 1_000;

  private final String hostId;
  private final String incarnation;
  private final String domain;
  private final Router router;
  private final AtomicLong sequence = new AtomicLong();

  /**
   * Makes the service.
   *
   * @param hostId this host
   * @param incarnation changes with every start of the process
   * @param domain failure domain of this host
   * @param router brings requests to coordinators
   */
  public JobService(String hostId, String incarnation, String domain, Router router) {
    this.hostId = hostId;
    this.incarnation = incarnation;
    this.domain = domain;
    this.router = router;
  }

  /**
   * Submits a job.
   *
   * @param spec the job
   * @param waitMs longest time to wait for its end
   * @return what is known of it at its end or after the wait
   */
  public CompletableFuture<JobAnswer> submit(JobSpec spec, long waitMs) {
    String targetDomain = spec.domain() == null ? domain : spec.domain();
    String jobId = hostId + "-" + incarnation + "-" + sequence.incrementAndGet();
    SubmitJob request = new SubmitJob(jobId, hostId, spec, waitMs);
    long timeoutMs = Math.max(MIN_ROUTING_TIMEOUT_MS, waitMs + RESPONSE_MARGIN_MS);
    return router
        .route(targetDomain, request, timeoutMs)
        .thenApply(result -> answer(spec.request(), targetDomain, result));
  }

  private JobAnswer answer(RequestKey request, String targetDomain, RoutingResult result) {
    if (result.reply() instanceof PeerReply.JobReply reply) {
      return result.maybeDelivered() ? refusalToInDoubt(reply.answer()) : reply.answer();
    }
    if (result.maybeDelivered()) {
      return inDoubt(request, "A coordinator may have taken the job on, and none answers now.");
    }
    boolean ownDomain = targetDomain.equals(domain);
    ReasonType type = ownDomain ? ReasonType.NO_COORDINATOR : ReasonType.DOMAIN_UNREACHABLE;
    String message =
        "No coordinator of failure domain " + targetDomain + " could be reached in time.";
    return JobAnswer.notRun(request, type, message, RETRY_AFTER_MS);
  }

  /** A refusal by a second coordinator does not say that the first one did not start the job. */
  private static JobAnswer refusalToInDoubt(JobAnswer answer) {
    boolean refused = answer.state() == JobState.NOT_RUN && answer.tasks().isEmpty();
    return refused
        ? inDoubt(answer.request(), "An earlier coordinator may have run it: " + answer.reason())
        : answer;
  }

  private static JobAnswer inDoubt(RequestKey request, String message) {
    Reason reason = new Reason(ReasonType.NO_COORDINATOR, message);
    return new JobAnswer(request, "", JobState.IN_DOUBT, reason, RETRY_AFTER_MS, List.of());
  }
}
