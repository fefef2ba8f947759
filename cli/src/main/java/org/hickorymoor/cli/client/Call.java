package org.hickorymoor.cli.client;

import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * A call that can be sent to any of the servers.
 *
 * @param method HTTP method
 * @param path path and query
 * @param body JSON body, or null for none
 * @param waitMs maximum time for which the server may delay its response
 * @param isRetryable whether the call may be retried even if a former attempt may have had an
 *     effect
 * @param isReadOnly whether the call never has an effect
 * @param evaluate determines the result of an attempt from the response
 */
public record Call(
    String method,
    String path,
    @Nullable String body,
    long waitMs,
    boolean isRetryable,
    boolean isReadOnly,
    Function<Reply, AttemptResult> evaluate) {

  private static final String GET = "GET";
  private static final int NOT_FOUND = 404;
  private static final int BAD_GATEWAY = 502;

  /** Creates a call that may have an effect unless its method is GET. */
  public Call(
      String method,
      String path,
      @Nullable String body,
      long waitMs,
      boolean isRetryable,
      Function<Reply, AttemptResult> evaluate) {
    this(method, path, body, waitMs, isRetryable, method.equals(GET), evaluate);
  }

  /**
   * Creates a read-only call with a body. Any response is final, so that an error is reported at
   * once.
   *
   * @param path path and query
   * @param body JSON body
   * @return the call
   */
  public static Call question(String path, String body) {
    return new Call("POST", path, body, 0, true, true, reply -> AttemptResult.FINAL);
  }

  /**
   * Creates a read-only call.
   *
   * @param path path and query
   * @param waitMs maximum time for which the server may delay its response
   * @return the call
   */
  public static Call get(String path, long waitMs) {
    return new Call(GET, path, null, waitMs, true, Call::evaluateStatus);
  }

  /**
   * Creates an idempotent call.
   *
   * @param method PUT or DELETE
   * @param path path and query
   * @return the call
   */
  public static Call idempotent(String method, String path) {
    return new Call(method, path, null, 0, true, Call::evaluateStatus);
  }

  /**
   * Creates an idempotent call concerning a job.
   *
   * <p>Each failure domain knows only its own jobs, so a job unknown to one server may be known to
   * another.
   *
   * @param method GET or DELETE
   * @param path path and query
   * @param waitMs maximum time for which the server may delay its response
   * @return the call
   */
  public static Call forJob(String method, String path, long waitMs) {
    return new Call(method, path, null, waitMs, true, Call::evaluateJobStatus);
  }

  private static AttemptResult evaluateJobStatus(Reply reply) {
    return reply.status() == NOT_FOUND
        ? new AttemptResult(CallOutcome.NOT_KNOWN_TO_SERVER, 0)
        : evaluateStatus(reply);
  }

  private static AttemptResult evaluateStatus(Reply reply) {
    return reply.status() >= BAD_GATEWAY
        ? new AttemptResult(CallOutcome.UNKNOWN, reply.retryAfterMs())
        : AttemptResult.FINAL;
  }
}
