package org.hickorymoor.domain.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Specification of a job, validated and independent of the schema version of the caller's record.
 *
 * @param request key of the request
 * @param name type of work within the team, such as {@code colour-proof}; resource usage and run
 *     times are learned per team and name
 * @param kind how the tasks are started and supervised
 * @param jobClass urgency
 * @param taskCount number of tasks, at least 1
 * @param demand declared resource demand of each task
 * @param declaredRunMs declared run time of each task; 0 if not declared
 * @param payload input of each task, opaque to the scheduler
 * @param repeatable false if the job must run at most once
 * @param spread how the tasks are spread over the workers
 * @param startWithinMs time after acceptance within which the job must start, or else it is not
 *     run; 0 for no limit
 * @param domain failure domain in which the job must run; null for that of the entry host
 */
public record JobSpec(
    RequestKey request,
    String name,
    JobKind kind,
    JobClass jobClass,
    int taskCount,
    Resources demand,
    long declaredRunMs,
    String payload,
    boolean repeatable,
    Spread spread,
    long startWithinMs,
    @Nullable String domain) {

  /** Checks for nulls and out-of-range values. */
  public JobSpec {
    requireNonNull(request, "request");
    requireNonNull(name, "name");
    requireNonNull(kind, "kind");
    requireNonNull(jobClass, "jobClass");
    requireNonNull(demand, "demand");
    requireNonNull(payload, "payload");
    requireNonNull(spread, "spread");
    checkArgument(taskCount >= 1, "taskCount must be at least 1, got %s", taskCount);
    checkArgument(declaredRunMs >= 0, "declaredRunMs must not be negative, got %s", declaredRunMs);
    checkArgument(startWithinMs >= 0, "startWithinMs must not be negative, got %s", startWithinMs);
  }
}
