package org.hickorymoor.protocol.platform;

import org.hickorymoor.domain.Resources;

/**
 * Description of a worker, as reported by the worker itself.
 *
 * @param workerId id of the worker
 * @param incarnation identifies the run of the worker process; changes with every restart
 * @param domain failure domain
 * @param rack rack within the failure domain
 * @param nowMs current value of the worker's monotonic clock
 * @param capacity declared resource capacity
 */
public record WorkerInfo(
    String workerId,
    String incarnation,
    String domain,
    String rack,
    long nowMs,
    Resources capacity) {}
