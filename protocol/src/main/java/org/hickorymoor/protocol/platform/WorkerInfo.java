package org.hickorymoor.protocol.platform;

import org.hickorymoor.domain.Resources;

/**
 * What a worker says of itself.
 *
 * @param workerId name of the worker
 * @param incarnation changes with every restart of the worker
 * @param domain failure domain
 * @param rack rack within the failure domain
 * @param nowMs the worker's monotonic clock
 * @param capacity declared capacity
 */
public record WorkerInfo(
    String workerId,
    String incarnation,
    String domain,
    String rack,
    long nowMs,
    Resources capacity) {}
