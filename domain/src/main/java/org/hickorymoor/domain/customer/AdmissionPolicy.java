package org.hickorymoor.domain.customer;

/**
 * Decides which jobs of a customer are refused under overload. Thread-safe.
 *
 * <p>A job is refused only if it can't be served usefully: because the jobs before it keep it from
 * completing in time, or because the customer's queued jobs have reached a fixed bound. Steps are
 * started in the same order whether or not jobs are refused; refusing only avoids accepting work
 * whose result nobody can use any more.
 */
public final class AdmissionPolicy {

  /** Multiple of its objective within which a job must complete to be useful. */
  public static final int USEFUL_OBJECTIVES = 3;

  /** Rank of a job beyond its customer's rate, which goes behind those of all other customers. */
  public static final int BEYOND_RATE = 2;

  /** Maximum number of queued jobs of a customer. */
  public static final int MAX_QUEUED_JOBS = 2_000;

  /** Maximum size of the submissions of a customer's open jobs. */
  public static final long MAX_SUBMISSION_BYTES = 16L * 1024 * 1024;

  /** Hosts begin to ask at half of each bound, so that they ask before a job must be refused. */
  private static final int PRESSURE_DIVISOR = 2;

  /** A bound is a step, so the customer returns once a tenth of its backlog has drained. */
  private static final int BOUND_DRAIN_DIVISOR = 10;

  private static final double MIN_RETRY_MS = 1_000;

  /** The longest delay is 30 s; jitter adds a quarter to this value. */
  private static final double MAX_UNJITTERED_RETRY_MS = 24_000;

  private static final double JITTER_SHARE = 0.25;

  private static final double MS_PER_S = 1_000;

  private AdmissionPolicy() {}

  /**
   * A job that may be accepted.
   *
   * @param shareRank rank of the job by its customer's share and rate
   * @param coreMs processor time that the job needs, in core-milliseconds
   * @param criticalPathMs length of the job's critical path
   * @param usefulWithinMs time from now within which the job must complete to be useful
   * @param bytes size of the submission
   */
  public record Job(
      int shareRank, long coreMs, long criticalPathMs, long usefulWithinMs, long bytes) {

    /** Validates the ranges. */
    public Job {
      requireNotNegative("coreMs", coreMs);
      requireNotNegative("criticalPathMs", criticalPathMs);
      requireNotNegative("bytes", bytes);
    }
  }

  /**
   * The open jobs that are known when a job arrives, without that job.
   *
   * @param customerCoreMs processor time that the customer's jobs of the same or a higher priority
   *     still need on the service, in core-milliseconds
   * @param totalCoreMs the same of the jobs of all customers
   * @param entitledShare share of the service to which the customer is entitled, from 0 to 1
   * @param capacityCores processor capacity of the service's workers
   * @param roomFree whether a waiting task of usual size fits on a worker of the service
   * @param queuedJobs number of the customer's jobs of which no task has been placed
   * @param submissionBytes size of the submissions of the customer's open jobs
   */
  public record Load(
      long customerCoreMs,
      long totalCoreMs,
      double entitledShare,
      double capacityCores,
      boolean roomFree,
      int queuedJobs,
      long submissionBytes) {

    /** Validates the ranges. */
    public Load {
      requireNotNegative("customerCoreMs", customerCoreMs);
      requireNotNegative("totalCoreMs", totalCoreMs);
      requireNotNegative("submissionBytes", submissionBytes);
      if (!(entitledShare >= 0 && entitledShare <= 1)) {
        throw new IllegalArgumentException(
            "entitledShare: expected a number from 0 to 1, got " + entitledShare);
      }
      if (!(capacityCores >= 0)) {
        throw new IllegalArgumentException(
            "capacityCores: expected no negative number, got " + capacityCores);
      }
    }
  }

  /**
   * Whether a job is accepted.
   *
   * @param admitted whether it is accepted
   * @param retryAfterMs time after which it can be submitted again; 0 if it is accepted
   * @param reason why it is refused; empty if it is accepted
   */
  public record Decision(boolean admitted, long retryAfterMs, String reason) {

    /** The job is accepted. */
    public static final Decision ADMITTED = new Decision(true, 0, "");
  }

  /**
   * Decides about a job.
   *
   * @param job the job
   * @param load the open jobs
   * @param jitter random number from 0 to 1, which spreads the delays of refused jobs
   * @return the decision
   */
  public static Decision decide(Job job, Load load, double jitter) {
    if (exceedsBounds(job, load, 1)) {
      return refuse(
          backlogMs(job, load) / BOUND_DRAIN_DIVISOR,
          jitter,
          String.format(
              "the customer has %d queued jobs and %d bytes of submissions, the limits are %d and"
                  + " %d",
              load.queuedJobs(), load.submissionBytes(), MAX_QUEUED_JOBS, MAX_SUBMISSION_BYTES));
    }
    if (isTooLate(job, load, job.usefulWithinMs())) {
      double completionMs = completionMs(job, load);
      return refuse(
          Math.min(completionMs - job.usefulWithinMs(), backlogMs(job, load)),
          jitter,
          String.format(
              "the job would complete in %.0f ms, its result is useful for %d ms",
              completionMs, job.usefulWithinMs()));
    }
    return Decision.ADMITTED;
  }

  /** Returns whether a job like this one is so close to being refused that hosts must ask. */
  public static boolean isUnderPressure(Job job, Load load) {
    return exceedsBounds(job, load, PRESSURE_DIVISOR)
        || isTooLate(job, load, job.usefulWithinMs() / PRESSURE_DIVISOR);
  }

  private static boolean exceedsBounds(Job job, Load load, int divisor) {
    return load.queuedJobs() >= MAX_QUEUED_JOBS / divisor
        || load.submissionBytes() + job.bytes() > MAX_SUBMISSION_BYTES / divisor;
  }

  /**
   * Returns whether the backlog keeps a job from completing in time. Without known capacity the
   * completion is unknown, and a job that would be too late on idle workers is not refused for the
   * backlog of others.
   */
  private static boolean isTooLate(Job job, Load load, long withinMs) {
    return !load.roomFree()
        && load.capacityCores() > 0
        && runMs(job, load) <= job.usefulWithinMs()
        && backlogMs(job, load) > 0
        && completionMs(job, load) > withinMs;
  }

  /**
   * Returns the expected time to completion. Scheduling is work-conserving, so a customer gets more
   * than its share while others use less than theirs; the completion is never later than that of
   * the whole backlog.
   */
  static double completionMs(Job job, Load load) {
    return backlogMs(job, load) + runMs(job, load);
  }

  /** Returns how long the job takes at least if all workers of the service are idle. */
  private static double runMs(Job job, Load load) {
    return Math.max(job.criticalPathMs(), drainMs(job.coreMs(), load.capacityCores()));
  }

  /** Returns the time until the backlog before a job has drained; at most a very large number. */
  private static double backlogMs(Job job, Load load) {
    double totalMs = drainMs(load.totalCoreMs(), load.capacityCores());
    if (job.shareRank() >= BEYOND_RATE) {
      return totalMs;
    }
    double customerMs = drainMs(load.customerCoreMs(), load.entitledShare() * load.capacityCores());
    return Math.min(customerMs, totalMs);
  }

  private static double drainMs(long coreMs, double cores) {
    return coreMs == 0 ? 0 : cores > 0 ? coreMs / cores : Double.MAX_VALUE;
  }

  private static Decision refuse(double delayMs, double jitter, String reason) {
    double boundedMs = Math.min(MAX_UNJITTERED_RETRY_MS, Math.max(MIN_RETRY_MS, delayMs));
    double jitteredMs = boundedMs * (1 + JITTER_SHARE * (2 * jitter - 1));
    return new Decision(false, Math.round(Math.max(MIN_RETRY_MS, jitteredMs)), reason);
  }

  /**
   * Returns a delay as the value of the header {@code Retry-After}.
   *
   * @param delayMs delay of a refused job
   * @return whole seconds, at least 1
   */
  public static long toRetryAfterSeconds(long delayMs) {
    return Math.max(1, (long) Math.ceil(delayMs / MS_PER_S));
  }

  private static void requireNotNegative(String name, long value) {
    if (value < 0) {
      throw new IllegalArgumentException(name + ": expected no negative number, got " + value);
    }
  }
}
