package org.hickorymoor.protocol.platform;

/**
 * A lagging usage report.
 *
 * @param cpuMillis processor use in thousandths of a core
 * @param memoryMb memory in mebibytes
 * @param connections open connections
 * @param atMs worker time that the figures are of
 */
public record Usage(int cpuMillis, int memoryMb, int connections, long atMs) {}
