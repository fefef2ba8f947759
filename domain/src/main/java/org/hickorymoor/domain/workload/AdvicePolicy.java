package org.hickorymoor.domain.workload;

/**
 * States that the tasks of a queue need an approval of each worker before they start there.
 *
 * @param decisionMs time that one decision takes
 * @param perWorkerMs time that each worker named in it adds
 * @param validityMs how long an approval can be used
 */
public record AdvicePolicy(double decisionMs, double perWorkerMs, double validityMs) {}
