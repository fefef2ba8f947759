package org.hickorymoor.protocol.caller;

/** Values of {@code error.type} in the client HTTP API. */
public final class ErrorTypes {

  /** The record is invalid; all of its problems are listed. */
  public static final String INVALID_RECORD = "invalid-record";

  /** A path, a query parameter or a header is invalid. */
  public static final String INVALID_REQUEST = "invalid-request";

  /** The body exceeds the size limit. */
  public static final String TOO_LARGE = "too-large";

  /** The key was used before for a different record. */
  public static final String KEY_REUSED = "key-reused";

  /** There is no job with this team and key. */
  public static final String UNKNOWN_JOB = "unknown-job";

  /** There is no worker with this id. */
  public static final String UNKNOWN_WORKER = "unknown-worker";

  /** There is no resource at this path. */
  public static final String UNKNOWN_PATH = "unknown-path";

  /** The configuration has changed since the expected version. */
  public static final String VERSION_CONFLICT = "version-conflict";

  /** A dependency of the request is temporarily unavailable. */
  public static final String UNAVAILABLE = "unavailable";

  /** An internal error occurred in the server. */
  public static final String INTERNAL = "internal";

  private ErrorTypes() {}
}
