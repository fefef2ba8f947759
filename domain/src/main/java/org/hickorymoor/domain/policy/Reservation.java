package org.hickorymoor.domain.policy;

import java.util.List;

/**
 * Workers reserved for one job until it starts or the reservation expires.
 *
 * @param job the job
 * @param workers the reserved workers
 * @param expiresMs the time at which the workers are released
 * @param usesDeclaredDemand whether the drained workers are filled by declared instead of expected
 *     demand, because by expected demand there are too few workers
 */
record Reservation(
    QueuedJob job, List<WorkerLoad> workers, long expiresMs, boolean usesDeclaredDemand) {}
