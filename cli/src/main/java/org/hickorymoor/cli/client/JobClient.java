package org.hickorymoor.cli.client;

import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.RequestKey;

/**
 * Submits, queries and cancels jobs.
 *
 * <pre>{@code
 * JobClient jobs = new JobClient(client, MonotonicClock.SYSTEM);
 * JobReply reply = jobs.submit(spec, json, 30_000);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class JobClient {

  private static final long MAX_SERVER_WAIT_MS = 30_000;
  private static final long POLL_INTERVAL_MS = 200;
  private static final long LOOKUP_TIMEOUT_MS = 5_000;
  private static final long LOOKUP_INTERVAL_MS = 1_000;
  private static final int NOT_FOUND = 404;

  private final RetryingClient client;
  private final MonotonicClock clock;

  /**
   * Creates a client.
   *
   * @param client sends the calls
   * @param clock clock for deadlines and polling
   */
  public JobClient(RetryingClient client, MonotonicClock clock) {
    this.client = client;
    this.clock = clock;
  }

  /**
   * Submits a job and waits for it to end.
   *
   * <p>The record of a job that is not repeatable is submitted again only if the former attempt
   * certainly had no effect; after any other failure, the servers are queried for its key instead.
   *
   * @param spec the specification in the record
   * @param json the record
   * @param waitMs maximum time to wait for the end, or 0 not to wait
   * @return the last response received within that time
   * @throws ClientException if no server responded
   * @throws ServerErrorException if a server responded with an error
   */
  public JobReply submit(JobSpec spec, String json, long waitMs)
      throws ClientException, ServerErrorException {
    RequestKey request = spec.request();
    long deadlineMs = clock.nowMs() + waitMs;
    long firstWaitMs = Math.min(waitMs, MAX_SERVER_WAIT_MS);
    Call call =
        new Call(
            "POST",
            "/v1/jobs?waitMs=" + firstWaitMs,
            json,
            firstWaitMs,
            spec.repeatable(),
            reply -> evaluateSubmit(reply, request));
    JobReply first;
    try {
      first = JobReply.of(client.send(call), request);
    } catch (OutcomeUnknownException e) {
      first = lookUpSubmitted(request, e);
    }
    return awaitEnd(request, first, deadlineMs);
  }

  /**
   * Queries the state of a job.
   *
   * @param request key of the job
   * @param waitMs maximum time to wait for the end, or 0 not to wait
   * @return the last response received within that time
   * @throws ClientException if no server responded
   * @throws ServerErrorException if a server responded with an error, such as for an unknown job
   */
  public JobReply status(RequestKey request, long waitMs)
      throws ClientException, ServerErrorException {
    long deadlineMs = clock.nowMs() + waitMs;
    long firstWaitMs = Math.min(waitMs, MAX_SERVER_WAIT_MS);
    JobReply first = JobReply.of(client.send(statusCall(request, firstWaitMs)), request);
    return awaitEnd(request, first, deadlineMs);
  }

  /**
   * Cancels a job.
   *
   * @param request key of the job
   * @return the state of the job after the call
   * @throws ClientException if no server responded
   * @throws ServerErrorException if a server responded with an error, such as for an unknown job
   */
  public JobReply cancel(RequestKey request) throws ClientException, ServerErrorException {
    return JobReply.of(client.send(Call.forJob("DELETE", path(request), 0)), request);
  }

  /** Queries a job repeatedly, since its record may still be in transit. */
  private JobReply lookUpSubmitted(RequestKey request, OutcomeUnknownException failure)
      throws ClientException, ServerErrorException {
    long deadlineMs = clock.nowMs() + LOOKUP_TIMEOUT_MS;
    try {
      while (clock.nowMs() <= deadlineMs) {
        Reply reply = client.send(statusCall(request, 0));
        if (reply.isSuccess()) {
          return JobReply.of(reply, request);
        }
        clock.sleep(LOOKUP_INTERVAL_MS);
      }
    } catch (UnreachableException e) {
      failure.addSuppressed(e);
    }
    throw failure;
  }

  private JobReply awaitEnd(RequestKey request, JobReply first, long deadlineMs)
      throws ClientException, ServerErrorException {
    JobReply last = first;
    long remainingMs = deadlineMs - clock.nowMs();
    while (!last.answer().state().isFinal() && remainingMs > 0) {
      clock.sleep(Math.min(remainingMs, Math.max(POLL_INTERVAL_MS, last.answer().retryAfterMs())));
      long waitMs = Math.max(0, Math.min(deadlineMs - clock.nowMs(), MAX_SERVER_WAIT_MS));
      Reply reply = client.send(statusCall(request, waitMs));
      // A host that has just taken over may not know the job yet.
      last = reply.status() == NOT_FOUND ? last : JobReply.of(reply, request);
      remainingMs = deadlineMs - clock.nowMs();
    }
    return last;
  }

  private static Call statusCall(RequestKey request, long waitMs) {
    return Call.forJob("GET", path(request) + "?waitMs=" + waitMs, waitMs);
  }

  private static String path(RequestKey request) {
    return "/v1/jobs/" + request.team() + "/" + request.key();
  }

  /** Distinguishes a definite rejection from an unknown outcome. */
  private static AttemptResult evaluateSubmit(Reply reply, RequestKey request) {
    try {
      JobAnswer answer = JobReply.of(reply, request).answer();
      return answer.state() == JobState.NOT_RUN
          ? new AttemptResult(
              CallOutcome.NO_EFFECT, Math.max(answer.retryAfterMs(), reply.retryAfterMs()))
          : AttemptResult.FINAL;
    } catch (ServerErrorException e) {
      boolean rejected = !reply.isSuccess() && !reply.isServerError();
      return rejected ? AttemptResult.FINAL : new AttemptResult(CallOutcome.UNKNOWN, 0);
    }
  }
}
