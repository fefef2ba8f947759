package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.Resources;

/**
 * What is declared about a worker.
 *
 * @param workerId name of the worker
 * @param rack rack within the failure domain
 * @param capacity declared capacity, a hard limit in slots, connections, memory and accelerators
 * @param leaving true if it takes no new work
 */
public record WorkerProfile(String workerId, String rack, Resources capacity, boolean leaving) {}
