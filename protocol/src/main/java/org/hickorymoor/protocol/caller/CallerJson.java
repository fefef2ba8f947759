package org.hickorymoor.protocol.caller;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.List;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.TaskStatus;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.Problem;
import org.hickorymoor.protocol.json.RecordReader;
import org.hickorymoor.protocol.json.ValueReader;

/**
 * Serializes and parses responses of the client HTTP API.
 *
 * <pre>{@code
 * String body = CallerJson.toJson(answer);
 * JobAnswer same = CallerJson.parseJobAnswer(body);
 * }</pre>
 *
 * <p>Enum constants are written in lower-kebab-case and null fields are omitted. Unknown fields are
 * ignored when parsing, since the server may be newer than its client. All methods are stateless
 * and thread-safe.
 */
public final class CallerJson {

  /** Maximum size of a response that is parsed. */
  public static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

  private static final Gson GSON =
      new GsonBuilder()
          .disableHtmlEscaping()
          .registerTypeAdapterFactory(new KebabCaseEnumAdapterFactory())
          .create();

  private CallerJson() {}

  /**
   * Serializes a response, such as a {@link JobAnswer}, an {@link ErrorBody} or a record of these.
   *
   * @param response the response
   * @return JSON without line breaks
   */
  public static String toJson(Object response) {
    return GSON.toJson(response);
  }

  /**
   * Parses the response about a job.
   *
   * @param json the response body
   * @return the parsed response
   * @throws InvalidRecordException if the body is not a valid job response
   */
  public static JobAnswer parseJobAnswer(String json) throws InvalidRecordException {
    return RecordReader.read(json, MAX_RESPONSE_BYTES, CallerJson::jobAnswer);
  }

  /**
   * Parses a list of jobs, {@code {"jobs":[...]}}.
   *
   * @param json the response body
   * @return the jobs
   * @throws InvalidRecordException if the body is not a valid list of jobs
   */
  public static List<JobAnswer> parseJobAnswers(String json) throws InvalidRecordException {
    return RecordReader.read(
        json,
        MAX_RESPONSE_BYTES,
        reader -> {
          reader.ignoreUnknownFields();
          return reader.required("jobs").asList(Integer.MAX_VALUE, CallerJson::jobAnswerElement);
        });
  }

  /**
   * Parses an error response.
   *
   * @param json the response body
   * @return the error
   * @throws InvalidRecordException if the body is not a valid error response
   */
  public static ErrorBody parseError(String json) throws InvalidRecordException {
    return RecordReader.read(
        json,
        MAX_RESPONSE_BYTES,
        reader -> {
          reader.ignoreUnknownFields();
          return new ErrorBody(reader.required("error").asObject(CallerJson::errorDetail));
        });
  }

  private static JobAnswer jobAnswerElement(ValueReader value) {
    return value.asObject(CallerJson::jobAnswer);
  }

  private static JobAnswer jobAnswer(RecordReader reader) {
    reader.ignoreUnknownFields();
    return new JobAnswer(
        reader.required("request").asObject(CallerJson::request),
        reader.optional("jobId", CallerJson::string, ""),
        reader.required("state").asEnum(JobState.class),
        reader.optional("reason", value -> value.asObject(CallerJson::reason), Reason.NONE),
        reader.optional("retryAfterMs", value -> value.asLong(0, Long.MAX_VALUE), 0L),
        reader.optional(
            "tasks", list -> list.asList(Integer.MAX_VALUE, CallerJson::task), List.of()));
  }

  private static RequestKey request(RecordReader reader) {
    reader.ignoreUnknownFields();
    return new RequestKey(reader.required("team").asName(), reader.required("key").asName());
  }

  private static Reason reason(RecordReader reader) {
    reader.ignoreUnknownFields();
    return new Reason(
        reader.required("type").asEnum(ReasonType.class),
        reader.optional("message", CallerJson::string, ""));
  }

  private static TaskStatus task(ValueReader value) {
    return value.asObject(
        reader -> {
          reader.ignoreUnknownFields();
          return new TaskStatus(
              reader.required("index").asInt(0, Integer.MAX_VALUE),
              reader.required("state").asEnum(JobState.class),
              reader.optional("workerId", CallerJson::string),
              reader.optional("attempts", number -> number.asInt(0, Integer.MAX_VALUE), 0),
              reader.optional(
                  "exitCode", number -> number.asInt(Integer.MIN_VALUE, Integer.MAX_VALUE), 0),
              reader.optional("output", CallerJson::string, ""));
        });
  }

  private static ErrorBody.Detail errorDetail(RecordReader reader) {
    reader.ignoreUnknownFields();
    return new ErrorBody.Detail(
        string(reader.required("type")),
        reader.optional("message", CallerJson::string, ""),
        reader.optional(
            "problems", list -> list.asList(Integer.MAX_VALUE, CallerJson::problem), List.of()));
  }

  private static Problem problem(ValueReader value) {
    return value.asObject(
        reader -> {
          reader.ignoreUnknownFields();
          return new Problem(
              reader.optional("path", CallerJson::string, Problem.ROOT_PATH),
              reader.optional("expected", CallerJson::string, ""),
              reader.optional("got", CallerJson::string, ""));
        });
  }

  private static String string(ValueReader value) {
    return value.asString(MAX_RESPONSE_BYTES);
  }
}
