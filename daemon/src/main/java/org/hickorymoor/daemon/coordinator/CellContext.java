package org.hickorymoor.daemon.coordinator;

import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickorymoor.domain.policy.CellScheduler;
import org.hickorymoor.domain.policy.PolicySettings;
import org.jspecify.annotations.Nullable;

/**
 * What a cell works with.
 *
 * @param settings times and names
 * @param scheduler decides; used under the cell's lock only
 * @param journal keeps what must last
 * @param records writes and reads the record that a task carries as a label
 * @param clockMs monotonic time
 * @param authorityUntilMs end of the authority over the failure domain
 * @param policy settings of the policy in force
 * @param agents finds the agent of a worker, or null
 */
record CellContext(
    CoordinatorSettings settings,
    CellScheduler scheduler,
    JobJournal journal,
    RecordText records,
    LongSupplier clockMs,
    LongSupplier authorityUntilMs,
    Supplier<PolicySettings> policy,
    Function<String, @Nullable WorkerAgent> agents) {

  boolean hasAuthority() {
    return clockMs.getAsLong() < authorityUntilMs.getAsLong();
  }
}
