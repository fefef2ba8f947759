package org.hickorymoor.cli.client;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.SplittableRandom;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.protocol.caller.CallerJson;
import org.hickorymoor.protocol.caller.ErrorBody;
import org.hickorymoor.protocol.caller.ErrorTypes;
import org.hickorymoor.protocol.caller.JobRecordCodec;
import org.junit.jupiter.api.Test;

final class JobClientTest {

  private static final RequestKey REQUEST = new RequestKey("t", "k");
  private static final String UNKNOWN_JOB =
      CallerJson.toJson(ErrorBody.of(ErrorTypes.UNKNOWN_JOB, "no such job"));

  private final FakeTransport transport = new FakeTransport();
  private final FakeClock clock = new FakeClock();
  private final JobClient jobs =
      new JobClient(
          new RetryingClient(
              transport,
              ServerAddress.parseList("a:1,b:1"),
              2_000,
              clock,
              new SplittableRandom(32)),
          clock);

  private static String answer(JobState state) {
    return CallerJson.toJson(new JobAnswer(REQUEST, "j", state, Reason.NONE, 0, List.of()));
  }

  private static String rejection(ReasonType reason, long retryAfterMs) {
    return CallerJson.toJson(JobAnswer.notRun(REQUEST, reason, "", retryAfterMs));
  }

  private static JobSpec spec(boolean repeatable) throws Exception {
    return JobRecordCodec.parse(
        "{\"schemaVersion\":1,\"team\":\"t\",\"key\":\"k\",\"name\":\"n\",\"kind\":\"batch\","
            + "\"cpuMillis\":1,\"memoryMb\":1,\"repeatable\":"
            + repeatable
            + "}");
  }

  private JobState submit(boolean repeatable, long waitMs) throws Exception {
    return jobs.submit(spec(repeatable), "{}", waitMs).answer().state();
  }

  @Test
  void pollsUntilJobEnds() throws Exception {
    transport
        .thenReply(202, answer(JobState.ACCEPTED))
        .thenReply(200, answer(JobState.RUNNING))
        .thenReply(404, UNKNOWN_JOB)
        .thenReply(200, answer(JobState.DONE));

    assertThat(submit(true, 10_000)).isEqualTo(JobState.DONE);
  }

  @Test
  void returnsLastAnswerAfterWaitTimeout() throws Exception {
    transport.thenReply(202, answer(JobState.RUNNING));

    assertThat(submit(true, 3_000)).isEqualTo(JobState.RUNNING);
  }

  @Test
  void resubmitsAfterRequestedDelay() throws Exception {
    transport
        .thenReply(429, rejection(ReasonType.OVERLOADED, 700))
        .thenReply(202, answer(JobState.ACCEPTED));

    assertThat(submit(false, 0)).isEqualTo(JobState.ACCEPTED);
    assertThat(clock.sleepsMs.get(0)).isAtLeast(700);
  }

  @Test
  void treatsRejectionWithoutDelayAsFinal() throws Exception {
    transport.thenReply(503, rejection(ReasonType.NEVER_FITS, 0));

    assertThat(submit(true, 0)).isEqualTo(JobState.NOT_RUN);
    assertThat(transport.calls).hasSize(1);
  }

  @Test
  void resubmitsRepeatableJobAfterLostConnection() throws Exception {
    transport.thenConnectionLost().thenReply(200, answer(JobState.DONE));

    assertThat(submit(true, 0)).isEqualTo(JobState.DONE);
    assertThat(transport.calls.get(1)).startsWith("b POST");
  }

  @Test
  void queriesUnrepeatableJobAfterLostConnection() throws Exception {
    transport.thenConnectionLost().thenReply(200, answer(JobState.RUNNING));

    assertThat(submit(false, 0)).isEqualTo(JobState.RUNNING);
    assertThat(transport.calls.get(1)).startsWith("b GET");
  }

  @Test
  void queriesUnrepeatableJobAgainWhileItMayBeInTransit() throws Exception {
    transport
        .thenConnectionLost()
        .thenReply(404, UNKNOWN_JOB)
        .thenReply(404, UNKNOWN_JOB)
        .thenReply(200, answer(JobState.RUNNING));

    assertThat(submit(false, 0)).isEqualTo(JobState.RUNNING);
  }

  @Test
  void queriesNextServerIfJobIsUnknown() throws Exception {
    transport.thenReply(404, UNKNOWN_JOB).thenReply(200, answer(JobState.DONE));

    assertThat(jobs.status(REQUEST, 0).answer().state()).isEqualTo(JobState.DONE);
  }

  @Test
  void rejectsAnswerToAnotherRequest() {
    transport.thenReply(200, answer(JobState.DONE).replace("\"k\"", "\"other\""));

    assertThrows(ServerErrorException.class, () -> jobs.status(REQUEST, 0));
  }

  @Test
  void reportsJobUnknownToAllServers() {
    transport.thenReply(404, UNKNOWN_JOB);

    ServerErrorException e =
        assertThrows(ServerErrorException.class, () -> jobs.status(REQUEST, 0));
    assertThat(e.error().type()).isEqualTo(ErrorTypes.UNKNOWN_JOB);
    assertThat(transport.calls).hasSize(2);
  }

  @Test
  void outcomeOfUnrepeatableJobIsUnknownIfNoServerKnowsIt() {
    transport.thenReply(502, "bad gateway").thenReply(404, UNKNOWN_JOB);

    assertThrows(OutcomeUnknownException.class, () -> submit(false, 0));
    assertThat(transport.calls.stream().filter(call -> call.contains("POST"))).hasSize(1);
  }

  @Test
  void outcomeIsUnknownIfRejectionFollowsLostConnection() {
    transport.thenConnectionLost().thenReply(503, rejection(ReasonType.NO_COORDINATOR, 0));

    assertThrows(OutcomeUnknownException.class, () -> submit(true, 0));
  }
}
