package org.hickorymoor.daemon.stream;

/**
 * Where a {@link LogFollower} stands.
 *
 * @param state whether the log answers
 * @param sinceMs monotonic time at which the state began
 * @param reachedEnd whether any read has reached the end of the stream
 * @param lastEndReadStartedMs monotonic time at which the last read that reached the end of the
 *     stream was sent: every record appended before it has been delivered; 0 if {@code reachedEnd}
 *     is false
 * @param nextOffset first offset not yet delivered
 * @param endOffset end of the stream at the last answer
 */
public record FollowerStatus(
    State state,
    long sinceMs,
    boolean reachedEnd,
    long lastEndReadStartedMs,
    long nextOffset,
    long endOffset) {

  /** Whether the log answers. */
  public enum State {
    /** The last read was answered. */
    LIVE,

    /** The last read failed, or none has been answered yet. */
    OUT
  }

  /**
   * Tells whether all that was in the stream a given time ago has been delivered.
   *
   * @param nowMs monotonic time now
   * @param maxAgeMs the given time
   * @return true if a read that reached the end was sent within that time
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
