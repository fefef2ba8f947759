package org.hickorymoor.domain.workload;

/**
 * Policy of a queue whose tasks need an approval for each worker before they can start on it.
 *
 * @param decisionMs base duration of one approval decision
 * @param perWorkerMs additional duration for each worker named in the decision
 * @param validityMs how long an approval remains valid
 */
public record ApprovalPolicy(double decisionMs, double perWorkerMs, double validityMs) {}
