package org.hickorymoor.domain.policy;

import java.util.List;

/**
 * Workers that are held for one job until it starts or the reservation expires.
 *
 * @param job the job
 * @param workers the workers held for it
 * @param expiresMs when they are released
 * @param trustsDeclared whether drained workers may be filled by declared sizes, since by the
 *     expected ones there are never enough workers
 */
record Reservation(
    QueuedJob job, List<WorkerLoad> workers, long expiresMs, boolean usesDeclaredDemand) {}
