package org.hickorymoor.standins.log;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.gson.annotations.SerializedName;

/**
 * Faults of the log, for tests.
 *
 * @param outage whether calls are served
 * @param loseReplies number of the next appends that take effect and are not answered
 * @param slowMs time by which each answer is held back after the call took effect
 */
public record LogFaults(Outage outage, int loseReplies, long slowMs) {

  /** A log without faults. */
  public static final LogFaults NONE = new LogFaults(Outage.NONE, 0, 0);

  /** Sets an absent outage to none and checks the ranges. */
  public LogFaults {
    outage = outage == null ? Outage.NONE : outage;
    checkArgument(loseReplies >= 0, "loseReplies must not be negative, got %s", loseReplies);
    checkArgument(slowMs >= 0, "slowMs must not be negative, got %s", slowMs);
  }

  /** Whether calls are served. */
  public enum Outage {
    /** Calls are served. */
    @SerializedName("none")
    NONE,

    /** Calls are answered with status 503 and have no effect. */
    @SerializedName("refuse")
    REFUSE,

    /** Calls have no effect; their connections are closed when the outage ends. */
    @SerializedName("hang")
    HANG
  }

  /**
   * Returns a log that refuses calls.
   *
   * @return the faults
   */
  public static LogFaults refusing() {
    return new LogFaults(Outage.REFUSE, 0, 0);
  }

  /**
   * Returns a log that leaves calls without an answer.
   *
   * @return the faults
   */
  public static LogFaults hanging() {
    return new LogFaults(Outage.HANG, 0, 0);
  }

  /**
   * Returns a log that loses the replies of the next appends.
   *
   * @param appends number of appends
   * @return the faults
   */
  public static LogFaults losingReplies(int appends) {
    return new LogFaults(Outage.NONE, appends, 0);
  }

  /**
   * Returns a log that answers late.
   *
   * @param ms time by which each answer is held back
   * @return the faults
   */
  public static LogFaults slow(long ms) {
    return new LogFaults(Outage.NONE, 0, ms);
  }
}
