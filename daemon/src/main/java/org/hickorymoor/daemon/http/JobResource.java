package org.hickorymoor.daemon.http;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.hickorymoor.daemon.entry.JobService;
import org.hickorymoor.daemon.entry.Router;
import org.hickorymoor.daemon.entry.RoutingResult;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.protocol.caller.ErrorBody;
import org.hickorymoor.protocol.caller.ErrorTypes;
import org.hickorymoor.protocol.caller.JobRecordCodec;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.RecordTooLargeException;

/** Serves {@code /v1/jobs}. Thread-safe. */
final class JobResource implements HttpApiServer.Resource {

  private static final long MAX_WAIT_MS = 60_000;
  private static final long ROUTING_TIMEOUT_MS = 5_000;
  private static final int DEFAULT_LIMIT = 100;
  private static final int MAX_LIMIT = 1_000;
  private static final int COLLECTION_PATH_SEGMENTS = 2;
  private static final int JOB_PATH_SEGMENTS = 4;
  private static final int EXPLAIN_PATH_SEGMENTS = 5;

  private final String domain;
  private final JobService jobs;
  private final Router router;

  JobResource(String domain, JobService jobs, Router router) {
    this.domain = domain;
    this.jobs = jobs;
    this.router = router;
  }

  @Override
  public boolean handle(HttpCall call) throws BadRequestException {
    List<String> path = call.path();
    if (path.size() < COLLECTION_PATH_SEGMENTS
        || !path.get(0).equals("v1")
        || !path.get(1).equals("jobs")) {
      return false;
    }
    switch (path.size()) {
      case COLLECTION_PATH_SEGMENTS -> handleCollection(call);
      case JOB_PATH_SEGMENTS -> handleJob(call, new RequestKey(path.get(2), path.get(3)));
      case EXPLAIN_PATH_SEGMENTS -> handleExplain(call, new RequestKey(path.get(2), path.get(3)));
      default -> call.replyUnknownPath();
    }
    return true;
  }

  private void handleCollection(HttpCall call) throws BadRequestException {
    switch (call.method()) {
      case "POST" -> submit(call);
      case "GET" -> list(call);
      default -> call.replyUnknownPath();
    }
  }

  private void handleJob(HttpCall call, RequestKey key) throws BadRequestException {
    switch (call.method()) {
      case "GET" -> {
        long waitMs = waitMs(call);
        route(
            call, new PeerRequest.GetJob(key, waitMs), waitMs + ROUTING_TIMEOUT_MS, this::replyJob);
      }
      case "DELETE" ->
          route(
              call,
              new PeerRequest.CancelJob(key, call.actor()),
              ROUTING_TIMEOUT_MS,
              this::replyJob);
      default -> call.replyUnknownPath();
    }
  }

  private void handleExplain(HttpCall call, RequestKey key) {
    if (!call.method().equals("GET") || !call.path().get(JOB_PATH_SEGMENTS).equals("explain")) {
      call.replyUnknownPath();
      return;
    }
    route(call, new PeerRequest.ExplainJob(key), ROUTING_TIMEOUT_MS, this::replyJob);
  }

  private static long waitMs(HttpCall call) throws BadRequestException {
    return call.queryNumber("waitMs", 0, MAX_WAIT_MS);
  }

  private void submit(HttpCall call) throws BadRequestException {
    long waitMs = waitMs(call);
    JobSpec spec;
    try {
      spec = JobRecordCodec.parse(call.body());
    } catch (RecordTooLargeException e) {
      call.reply(HttpCall.CONTENT_TOO_LARGE, ErrorBody.of(ErrorTypes.TOO_LARGE, e));
      return;
    } catch (InvalidRecordException e) {
      call.reply(HttpCall.BAD_REQUEST, ErrorBody.of(ErrorTypes.INVALID_RECORD, e));
      return;
    }
    jobs.submit(spec, waitMs).thenAccept(answer -> replySubmitted(call, answer));
  }

  private static void replySubmitted(HttpCall call, JobAnswer answer) {
    if (answer.reason().type() == ReasonType.KEY_REUSED) {
      call.replyError(HttpCall.CONFLICT, ErrorTypes.KEY_REUSED, answer.reason().message());
      return;
    }
    call.setRetryAfter(answer.retryAfterMs());
    call.reply(submittedStatus(answer), answer);
  }

  private static int submittedStatus(JobAnswer answer) {
    if (answer.state() == JobState.DONE || answer.state() == JobState.FAILED) {
      return HttpCall.OK;
    }
    if (answer.state() != JobState.NOT_RUN) {
      return HttpCall.ACCEPTED;
    }
    boolean overloaded = answer.reason().type() == ReasonType.OVERLOADED;
    return overloaded ? HttpCall.TOO_MANY_REQUESTS : HttpCall.UNAVAILABLE;
  }

  private void list(HttpCall call) throws BadRequestException {
    int limit = (int) call.queryNumber("limit", DEFAULT_LIMIT, MAX_LIMIT);
    route(
        call,
        new PeerRequest.ListJobs(call.query("team"), limit),
        ROUTING_TIMEOUT_MS,
        this::replyJob);
  }

  private void route(
      HttpCall call, PeerRequest request, long timeoutMs, BiConsumer<HttpCall, PeerReply> reply) {
    router.route(domain, request, timeoutMs).thenAccept(result -> answer(call, result, reply));
  }

  private static void answer(
      HttpCall call, RoutingResult result, BiConsumer<HttpCall, PeerReply> replyWith) {
    PeerReply reply = result.reply();
    if (reply == null) {
      String message = "no coordinator of the failure domain could be reached; try again";
      call.replyError(HttpCall.UNAVAILABLE, ErrorTypes.UNAVAILABLE, message);
    } else if (reply instanceof PeerReply.Refused refused) {
      call.replyError(HttpCall.INTERNAL_SERVER_ERROR, ErrorTypes.INTERNAL, refused.message());
    } else {
      replyWith.accept(call, reply);
    }
  }

  private void replyJob(HttpCall call, PeerReply reply) {
    if (reply instanceof PeerReply.JobReply job) {
      call.reply(HttpCall.OK, job.answer());
    } else if (reply instanceof PeerReply.JobListReply list) {
      call.reply(HttpCall.OK, Map.of("jobs", list.jobs()));
    } else if (reply instanceof PeerReply.ExplainReply explained) {
      call.reply(HttpCall.OK, Map.of("lines", explained.lines()));
    } else if (reply instanceof PeerReply.UnknownJob unknown) {
      String message =
          "no job with request key " + unknown.request() + " is known in this failure domain";
      call.replyError(HttpCall.NOT_FOUND, ErrorTypes.UNKNOWN_JOB, message);
    } else {
      String message = "unexpected reply of the coordinator: " + reply.getClass().getSimpleName();
      call.replyError(HttpCall.INTERNAL_SERVER_ERROR, ErrorTypes.INTERNAL, message);
    }
  }
}
