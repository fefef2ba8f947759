package org.hickorymoor.domain.policy;

import java.util.List;

/**
 * Workers that are held for one job until it starts or the reservation expires.
 *
 * @param job the job
 * @param workers the workers held for it
 * @param expiresMs when they are released
 */
record Reservation(QueuedJob job, List<WorkerLoad> workers, long expiresMs) {}
