package org.hickorymoor.protocol.caller;

/** Values of {@code error.type} in the caller's HTTP interface. */
public final class ErrorTypes {

  /** The record has mistakes, all of them listed. */
  public static final String INVALID_RECORD = "invalid-record";

  /** A path, a query parameter or a header has a mistake. */
  public static final String INVALID_REQUEST = "invalid-request";

  /** The body is larger than what is read. */
  public static final String TOO_LARGE = "too-large";

  /** The same key came earlier with another record. */
  public static final String KEY_REUSED = "key-reused";

  /** No job of this team and key is known. */
  public static final String UNKNOWN_JOB = "unknown-job";

  /** No worker of this id is known. */
  public static final String UNKNOWN_WORKER = "unknown-worker";

  /** There is nothing at this path. */
  public static final String UNKNOWN_PATH = "unknown-path";

  /** Another version of the configuration came first. */
  public static final String VERSION_CONFLICT = "version-conflict";

  /** What the request needs can't be reached at present. */
  public static final String UNAVAILABLE = "unavailable";

  /** The server failed for a reason of its own. */
  public static final String INTERNAL = "internal";

  private ErrorTypes() {}
}
