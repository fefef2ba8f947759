package org.hickorymoor.protocol.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.TaskStatus;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.Problem;
import org.junit.jupiter.api.Test;

final class CallerJsonTest {

  private static final JobAnswer ANSWER =
      new JobAnswer(
          new RequestKey("t", "k"),
          "j1",
          JobState.IN_DOUBT,
          new Reason(ReasonType.WORKER_UNREACHABLE, "no reply"),
          1500,
          List.of(
              new TaskStatus(0, JobState.DONE, "w1", 1, 0, "<ok>"),
              new TaskStatus(1, JobState.ACCEPTED, null, 0, 0, "")));

  @Test
  void writesFieldsInFixedOrder() {
    assertThat(CallerJson.toJson(ANSWER))
        .isEqualTo(
            "{\"request\":{\"team\":\"t\",\"key\":\"k\"},\"jobId\":\"j1\",\"state\":\"in-doubt\","
                + "\"reason\":{\"type\":\"worker-unreachable\",\"message\":\"no reply\"},"
                + "\"retryAfterMs\":1500,\"tasks\":["
                + "{\"index\":0,\"state\":\"done\",\"workerId\":\"w1\",\"attempts\":1,"
                + "\"exitCode\":0,\"output\":\"<ok>\"},"
                + "{\"index\":1,\"state\":\"accepted\",\"attempts\":0,\"exitCode\":0,"
                + "\"output\":\"\"}]}");
  }

  @Test
  void jobAnswerRoundTrips() throws Exception {
    assertThat(CallerJson.parseJobAnswer(CallerJson.toJson(ANSWER))).isEqualTo(ANSWER);
  }

  @Test
  void ignoresUnknownFieldsOfNewerServer() throws Exception {
    String newer = CallerJson.toJson(ANSWER).replace("{\"request\"", "{\"later\":1,\"request\"");

    assertThat(CallerJson.parseJobAnswer(newer)).isEqualTo(ANSWER);
  }

  @Test
  void rejectsAnswerWithoutState() {
    assertThrows(
        InvalidRecordException.class, () -> CallerJson.parseJobAnswer("{\"jobId\":\"j\"}"));
  }

  @Test
  void errorWithProblemsRoundTrips() throws Exception {
    ErrorBody error =
        ErrorBody.of(
            ErrorTypes.INVALID_RECORD,
            new InvalidRecordException(List.of(new Problem("team", "a name", "7"))));

    assertThat(CallerJson.parseError(CallerJson.toJson(error))).isEqualTo(error);
  }
}
