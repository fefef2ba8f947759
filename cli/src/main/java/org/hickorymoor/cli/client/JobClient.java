package org.hickorymoor.cli.client;

import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.RequestKey;

/**
 * Submits jobs and asks about them.
 *
 * <pre>{@code
 * JobClient jobs = new JobClient(client, Pacer.SYSTEM);
 * JobReply reply = jobs.submit(spec, json, 30_000);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class JobClient {

  private static final long MAX_SERVER_WAIT_MS = 30_000;
  private static final long POLL_PAUSE_MS = 200;
  private static final long LOOKUP_MS = 5_000;
  private static final long LOOKUP_PAUSE_MS = 1_000;
  private static final int NOT_FOUND = 404;

  private final RetryingClient client;
  private final Pacer pacer;

  /**
   * Makes a client.
   *
   * @param client makes the calls
   * @param pacer clock and pauses
   */
  public JobClient(RetryingClient client, Pacer pacer) {
    this.client = client;
    this.pacer = pacer;
  }

  /**
   * Submits a job and waits for its end.
   *
   * <p>The record of a job that must not be repeated is sent again only where the former attempt
   * certainly had no effect; after any other failure the servers are asked about its key instead.
   *
   * @param spec what the record asks for
   * @param json the record
   * @param waitMs time to wait for the end; 0 for none
   * @return the last answer within the time
   * @throws ClientException if no server answered
   * @throws ServerErrorException if a server answered by an error
   */
  public JobReply submit(JobSpec spec, String json, long waitMs)
      throws ClientException, ServerErrorException {
    RequestKey request = spec.request();
    long deadlineMs = pacer.nowMs() + waitMs;
    long firstWaitMs = Math.min(waitMs, MAX_SERVER_WAIT_MS);
    Call call =
        new Call(
            "POST",
            "/v1/jobs?waitMs=" + firstWaitMs,
            json,
            firstWaitMs,
            spec.repeatable(),
            reply -> assessSubmit(reply, request));
    JobReply first;
    try {
      first = JobReply.of(client.send(call), request);
    } catch (OutcomeUnknownException e) {
      first = findSubmitted(request, e);
    }
    return await(request, first, deadlineMs);
  }

  /**
   * Asks about a job.
   *
   * @param request its name
   * @param waitMs time to wait for its end; 0 for none
   * @return the last answer within the time
   * @throws ClientException if no server answered
   * @throws ServerErrorException if a server answered by an error, such as for an unknown job
   */
  public JobReply status(RequestKey request, long waitMs)
      throws ClientException, ServerErrorException {
    long deadlineMs = pacer.nowMs() + waitMs;
    long firstWaitMs = Math.min(waitMs, MAX_SERVER_WAIT_MS);
    JobReply first = JobReply.of(client.send(statusCall(request, firstWaitMs)), request);
    return await(request, first, deadlineMs);
  }

  /**
   * Cancels a job.
   *
   * @param request its name
   * @return what is known of it then
   * @throws ClientException if no server answered
   * @throws ServerErrorException if a server answered by an error, such as for an unknown job
   */
  public JobReply cancel(RequestKey request) throws ClientException, ServerErrorException {
    return JobReply.of(client.send(Call.aboutJob("DELETE", path(request), 0)), request);
  }

  /** Asks about a job whose record may still be on its way. */
  private JobReply findSubmitted(RequestKey request, OutcomeUnknownException failure)
      throws ClientException, ServerErrorException {
    long deadlineMs = pacer.nowMs() + LOOKUP_MS;
    try {
      while (pacer.nowMs() <= deadlineMs) {
        Reply reply = client.send(statusCall(request, 0));
        if (reply.isSuccess()) {
          return JobReply.of(reply, request);
        }
        pacer.sleep(LOOKUP_PAUSE_MS);
      }
    } catch (UnreachableException e) {
      failure.addSuppressed(e);
    }
    throw failure;
  }

  private JobReply await(RequestKey request, JobReply first, long deadlineMs)
      throws ClientException, ServerErrorException {
    JobReply last = first;
    long leftMs = deadlineMs - pacer.nowMs();
    while (!last.answer().state().isFinal() && leftMs > 0) {
      pacer.sleep(Math.min(leftMs, Math.max(POLL_PAUSE_MS, last.answer().retryAfterMs())));
      long waitMs = Math.max(0, Math.min(deadlineMs - pacer.nowMs(), MAX_SERVER_WAIT_MS));
      Reply reply = client.send(statusCall(request, waitMs));
      // A host that has just taken over may not know the job yet.
      last = reply.status() == NOT_FOUND ? last : JobReply.of(reply, request);
      leftMs = deadlineMs - pacer.nowMs();
    }
    return last;
  }

  private static Call statusCall(RequestKey request, long waitMs) {
    return Call.aboutJob("GET", path(request) + "?waitMs=" + waitMs, waitMs);
  }

  private static String path(RequestKey request) {
    return "/v1/jobs/" + request.team() + "/" + request.key();
  }

  /** Tells a certain refusal from an outcome that nobody knows. */
  private static Assessment assessSubmit(Reply reply, RequestKey request) {
    try {
      JobAnswer answer = JobReply.of(reply, request).answer();
      return answer.state() == JobState.NOT_RUN
          ? new Assessment(Verdict.NO_EFFECT, Math.max(answer.retryAfterMs(), reply.retryAfterMs()))
          : Assessment.FINAL;
    } catch (ServerErrorException e) {
      boolean refused = !reply.isSuccess() && !reply.isServerError();
      return refused ? Assessment.FINAL : new Assessment(Verdict.UNKNOWN, 0);
    }
  }
}
