package org.hickorymoor.domain.policy;

/**
 * A delayed report of the resource usage of a worker.
 *
 * @param cpuMillis the processor usage in thousandths of a core
 * @param memoryMb the memory usage in mebibytes
 * @param connections the number of open connections
 * @param ageMs the age of the measurements in milliseconds
 */
public record UsageReport(int cpuMillis, int memoryMb, int connections, long ageMs) {}
