package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.Resources;

/**
 * Declared properties of a worker.
 *
 * @param workerId the name of the worker
 * @param rack the rack within the failure domain
 * @param capacity the declared capacity, a hard limit for slots, connections, memory and
 *     accelerators
 * @param leaving true if the worker accepts no new tasks
 */
public record WorkerProfile(String workerId, String rack, Resources capacity, boolean leaving) {}
