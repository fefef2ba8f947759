package org.hickorymoor.standins.log;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.gson.annotations.SerializedName;

/**
 * Faults of the log stand-in, for tests.
 *
 * @param outage whether and how calls fail
 * @param loseReplies number of upcoming appends that take effect without a reply
 * @param slowMs delay of each reply after the call has taken effect
 */
public record LogFaults(Outage outage, int loseReplies, long slowMs) {

  /** No faults. */
  public static final LogFaults NONE = new LogFaults(Outage.NONE, 0, 0);

  /** Defaults an absent outage to none and validates the ranges. */
  public LogFaults {
    outage = outage == null ? Outage.NONE : outage;
    checkArgument(loseReplies >= 0, "loseReplies must not be negative, got %s", loseReplies);
    checkArgument(slowMs >= 0, "slowMs must not be negative, got %s", slowMs);
  }

  /** Failure mode of calls. */
  public enum Outage {
    /** Calls are served. */
    @SerializedName("none")
    NONE,

    /** Calls are answered with status 503 and have no effect. */
    @SerializedName("refuse")
    REFUSE,

    /** Calls have no effect and get no reply; their connections are closed when the outage ends. */
    @SerializedName("hang")
    HANG
  }

  /**
   * Returns faults under which calls are refused.
   *
   * @return the faults
   */
  public static LogFaults refusing() {
    return new LogFaults(Outage.REFUSE, 0, 0);
  }

  /**
   * Returns faults under which calls hang.
   *
   * @return the faults
   */
  public static LogFaults hanging() {
    return new LogFaults(Outage.HANG, 0, 0);
  }

  /**
   * Returns faults under which the replies to the next appends are lost.
   *
   * @param appends number of appends
   * @return the faults
   */
  public static LogFaults losingReplies(int appends) {
    return new LogFaults(Outage.NONE, appends, 0);
  }

  /**
   * Returns faults under which replies are delayed.
   *
   * @param ms delay of each reply
   * @return the faults
   */
  public static LogFaults slow(long ms) {
    return new LogFaults(Outage.NONE, 0, ms);
  }
}
