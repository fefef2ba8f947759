package org.hickorymoor.cli.client;

import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * A call to make to any one of the servers.
 *
 * @param method HTTP method
 * @param path path and query
 * @param body JSON body, or null for none
 * @param waitMs time for which the server may hold its answer back
 * @param isRepeatable true if the call may be sent again though it may have had an effect
 * @param assess tells what a reply means
 */
public record Call(
    String method,
    String path,
    @Nullable String body,
    long waitMs,
    boolean isRepeatable,
    Function<Reply, Assessment> assess) {

  private static final String GET = "GET";
  private static final int NOT_FOUND = 404;
  private static final int BAD_GATEWAY = 502;

  /**
   * Makes a call that changes nothing.
   *
   * @param path path and query
   * @param waitMs time for which the server may hold its answer back
   * @return the call
   */
  public static Call get(String path, long waitMs) {
    return new Call(GET, path, null, waitMs, true, Call::assessStatus);
  }

  /**
   * Makes a call whose repetition changes nothing more.
   *
   * @param method PUT or DELETE
   * @param path path and query
   * @return the call
   */
  public static Call idempotent(String method, String path) {
    return new Call(method, path, null, 0, true, Call::assessStatus);
  }

  /**
   * Makes a call about one job, whose repetition changes nothing more.
   *
   * <p>Each failure domain knows its own jobs, so that another server may know what one does not.
   *
   * @param method GET or DELETE
   * @param path path and query
   * @param waitMs time for which the server may hold its answer back
   * @return the call
   */
  public static Call aboutJob(String method, String path, long waitMs) {
    return new Call(method, path, null, waitMs, true, Call::assessJobStatus);
  }

  /** Tells whether the call can have no effect at all. */
  boolean isReadOnly() {
    return method.equals(GET);
  }

  private static Assessment assessJobStatus(Reply reply) {
    return reply.status() == NOT_FOUND ? new Assessment(Verdict.ELSEWHERE, 0) : assessStatus(reply);
  }

  private static Assessment assessStatus(Reply reply) {
    return reply.status() >= BAD_GATEWAY
        ? new Assessment(Verdict.UNKNOWN, reply.retryAfterMs())
        : Assessment.FINAL;
  }
}
