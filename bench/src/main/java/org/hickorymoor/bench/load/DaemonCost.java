package org.hickorymoor.bench.load;

/**
 * Resource usage of an entry host, as mean rates between two snapshots or as values at the end.
 *
 * @param cpuPercent CPU usage in percent of one core
 * @param residentKb resident set size at the end
 * @param threads number of threads at the end
 * @param heapKb heap in use after a full garbage collection
 * @param workerBytesPerSecond mean bytes in both directions between a worker and the entry hosts
 * @param logBytesPerSecond bytes in both directions between the host and the log
 * @param hostListBytesPerSecond bytes in both directions between the host and the host list
 * @param peerBytesPerSecond bytes in both directions between the host and other entry hosts
 * @param statusBytesPerSecond the part of the peer bytes used by status messages
 * @param statusMessagesPerSecond status messages sent and received
 * @param appendsPerSecond append requests to the log
 * @param entriesPerSecond log entries in these append requests
 * @param readsPerSecond read requests to the log
 */
record DaemonCost(
    double cpuPercent,
    double residentKb,
    double threads,
    double heapKb,
    double workerBytesPerSecond,
    double logBytesPerSecond,
    double hostListBytesPerSecond,
    double peerBytesPerSecond,
    double statusBytesPerSecond,
    double statusMessagesPerSecond,
    double appendsPerSecond,
    double entriesPerSecond,
    double readsPerSecond) {

  private static final double NS_PER_SECOND = 1e9;
  private static final double CPU_MS_PER_PERCENT_SECOND = 10;

  static DaemonCost between(Snapshot before, Snapshot after, long heapKb) {
    double seconds = (after.atNs() - before.atNs()) / NS_PER_SECOND;
    double cpuMs = after.usage().cpuMs() - before.usage().cpuMs();
    return new DaemonCost(
        cpuMs / seconds / CPU_MS_PER_PERCENT_SECOND,
        after.usage().residentKb(),
        after.usage().threads(),
        heapKb,
        (after.workerBytes() - before.workerBytes()) / seconds,
        (after.logBytes() - before.logBytes()) / seconds,
        (after.hostListBytes() - before.hostListBytes()) / seconds,
        (after.peerBytes() - before.peerBytes()) / seconds,
        (after.statusBytes() - before.statusBytes()) / seconds,
        (after.statusMessages() - before.statusMessages()) / seconds,
        (after.appends() - before.appends()) / seconds,
        (after.entries() - before.entries()) / seconds,
        (after.reads() - before.reads()) / seconds);
  }
}
