package org.hickorymoor.daemon.stream;

/**
 * Progress of a {@link LogFollower}.
 *
 * @param state whether the log is reachable
 * @param sinceMs monotonic time of the last change of state
 * @param reachedEnd whether any read has reached the end of the stream
 * @param lastEndReadStartedMs monotonic time at which the last read that reached the end of the
 *     stream was sent: every record appended before it has been delivered; 0 if {@code reachedEnd}
 *     is false
 * @param nextOffset offset after the last delivered record
 * @param endOffset end of the stream as of the last reply
 */
public record FollowerStatus(
    State state,
    long sinceMs,
    boolean reachedEnd,
    long lastEndReadStartedMs,
    long nextOffset,
    long endOffset) {

  /** Whether the log is reachable. */
  public enum State {
    /** The last read succeeded. */
    LIVE,

    /** The last read failed, or none has succeeded yet. */
    OUT
  }

  /**
   * Returns whether every record that was in the stream {@code maxAgeMs} ago has been delivered.
   *
   * @param nowMs current monotonic time
   * @param maxAgeMs maximum age
   * @return true if a read that reached the end was started within that time
   */
  public boolean isCurrentWithin(long nowMs, long maxAgeMs) {
    return reachedEnd && nowMs - lastEndReadStartedMs <= maxAgeMs;
  }

  FollowerStatus withState(State newState, long nowMs) {
    long newSinceMs = newState == state ? sinceMs : nowMs;
    return new FollowerStatus(
        newState, newSinceMs, reachedEnd, lastEndReadStartedMs, nextOffset, endOffset);
  }

  FollowerStatus withNextOffset(long offset) {
    long newEndOffset = Math.max(endOffset, offset);
    return new FollowerStatus(
        state, sinceMs, reachedEnd, lastEndReadStartedMs, offset, newEndOffset);
  }

  FollowerStatus withReadReply(long readStartedMs, long newEndOffset) {
    boolean atEnd = nextOffset >= newEndOffset;
    long newEndReadStartedMs = atEnd ? readStartedMs : lastEndReadStartedMs;
    return new FollowerStatus(
        state, sinceMs, reachedEnd || atEnd, newEndReadStartedMs, nextOffset, newEndOffset);
  }
}
