package org.hickorymoor.domain.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.hickorymoor.domain.Resources;
import org.jspecify.annotations.Nullable;

/**
 * What a caller wants run, after its record has been checked, whatever schema version it had.
 *
 * @param request name of the request
 * @param name kind of work within the team, such as {@code colour-proof}; sizes and run times are
 *     learned per team and name
 * @param kind how the tasks are started and kept
 * @param jobClass how urgently it is wanted
 * @param taskCount number of tasks, at least 1
 * @param demand declared need of each task
 * @param declaredRunMs declared run time of each task; 0 if not declared
 * @param payload what each task runs, opaque to the scheduler
 * @param repeatable false if the job must run at most once
 * @param spread over what the tasks are spread
 * @param startWithinMs time after acceptance within which the job must have started, or it is not
 *     run; 0 for no limit
 * @param domain failure domain that it must run in, or null for that of the entry host
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

  /** Checks the ranges. */
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
