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
 * Submits callers' jobs to their coordinators and derives the answer to the caller.
 *
 * <p>{@link JobState#NOT_RUN} states that no coordinator has started the job. If an earlier
 * delivery may have reached a coordinator whose reply did not come back, the answer is {@link
 * JobState#IN_DOUBT} instead. Thread-safe. The returned futures never fail.
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
   * Creates the service.
   *
   * @param hostId id of this host
   * @param incarnation id of this run of the process; changes with every start
   * @param domain failure domain of this host, the default target of jobs
   * @param router routes submissions to coordinators
   */
  public JobService(String hostId, String incarnation, String domain, Router router) {
    this.hostId = hostId;
    this.incarnation = incarnation;
    this.domain = domain;
    this.router = router;
  }

  /**
   * Submits a job to the coordinator of the failure domain that it names, or of this host's.
   *
   * @param spec job to run
   * @param waitMs maximum time to wait for the job to end
   * @return state of the job when it ended or the wait expired
   */
  public CompletableFuture<JobAnswer> submit(JobSpec spec, long waitMs) {
    String targetDomain = spec.domain() == null ? domain : spec.domain();
    String jobId = hostId + "-" + incarnation + "-" + sequence.incrementAndGet();
    SubmitJob request = new SubmitJob(jobId, hostId, spec, waitMs);
    long timeoutMs = Math.max(MIN_ROUTING_TIMEOUT_MS, waitMs + RESPONSE_MARGIN_MS);
    return router
        .route(targetDomain, request, timeoutMs)
        .thenApply(result -> toJobAnswer(spec.request(), targetDomain, result));
  }

  private JobAnswer toJobAnswer(RequestKey request, String targetDomain, RoutingResult result) {
    if (result.reply() instanceof PeerReply.JobReply reply) {
      return result.maybeDelivered() ? refusalToInDoubt(reply.answer()) : reply.answer();
    }
    if (result.maybeDelivered()) {
      return inDoubt(
          request, "A coordinator may have accepted the job, and no coordinator responds.");
    }
    boolean ownDomain = targetDomain.equals(domain);
    ReasonType type = ownDomain ? ReasonType.NO_COORDINATOR : ReasonType.DOMAIN_UNREACHABLE;
    String message =
        "No coordinator of failure domain " + targetDomain + " could be reached in time.";
    return JobAnswer.notRun(request, type, message, RETRY_AFTER_MS);
  }

  /**
   * Replaces a refusal by {@code IN_DOUBT}: an earlier coordinator may have started a job that a
   * later one refuses. A refusal lists no tasks, or is due to a log that could not be read.
   */
  private static JobAnswer refusalToInDoubt(JobAnswer answer) {
    boolean refused =
        answer.tasks().isEmpty() || answer.reason().type() == ReasonType.LOG_UNAVAILABLE;
    return answer.state() == JobState.NOT_RUN && refused
        ? inDoubt(
            answer.request(),
            "An earlier coordinator may have started the job; a later one refused it: "
                + answer.reason())
        : answer;
  }

  private static JobAnswer inDoubt(RequestKey request, String message) {
    Reason reason = new Reason(ReasonType.NO_COORDINATOR, message);
    return new JobAnswer(request, "", JobState.IN_DOUBT, reason, RETRY_AFTER_MS, List.of());
  }
}
