package org.hickorymoor.daemon.coordinator;

import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickorymoor.domain.policy.CellScheduler;
import org.hickorymoor.domain.policy.PolicySettings;
import org.jspecify.annotations.Nullable;

/**
 * Dependencies of a cell.
 *
 * @param settings identifiers and timeouts
 * @param scheduler scheduling policy; used only under the cell's lock
 * @param journal records job state in the log
 * @param specCodec encodes and decodes the job specification in a task's labels
 * @param clockMs monotonic time
 * @param authorityUntilMs monotonic time at which authority over the failure domain ends
 * @param policy current policy settings
 * @param agents returns the agent of a worker, or null if the worker is unknown
 */
record CellContext(
    CoordinatorSettings settings,
    CellScheduler scheduler,
    JobJournal journal,
    JobSpecCodec specCodec,
    LongSupplier clockMs,
    LongSupplier authorityUntilMs,
    Supplier<PolicySettings> policy,
    Function<String, @Nullable WorkerAgent> agents) {

  boolean hasAuthority() {
    return clockMs.getAsLong() < authorityUntilMs.getAsLong();
  }
}
