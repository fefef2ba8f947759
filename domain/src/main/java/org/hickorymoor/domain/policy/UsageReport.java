package org.hickorymoor.domain.policy;

/**
 * A lagging report of what a worker uses.
 *
 * @param cpuMillis processor use in thousandths of a core
 * @param memoryMb memory in mebibytes
 * @param connections open connections
 * @param ageMs how old the figures are
 */
public record UsageReport(int cpuMillis, int memoryMb, int connections, long ageMs) {}
