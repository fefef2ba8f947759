package org.hickorymoor.protocol.platform;

/**
 * Resource usage, which may be out of date.
 *
 * @param cpuMillis CPU usage in thousandths of a core
 * @param memoryMb memory usage in mebibytes
 * @param connections number of open connections
 * @param atMs worker clock when the usage was measured
 */
public record Usage(int cpuMillis, int memoryMb, int connections, long atMs) {}
