package org.hickorymoor.bench.load;

/**
 * What an entry host costs a second, between two snapshots.
 *
 * @param cpuPercent processor time as a share of one core
 * @param residentKb resident memory at the end
 * @param threads threads at the end
 * @param heapKb heap in use after a full collection
 * @param workerBytesPerSecond bytes both ways of a worker, on average
 * @param logBytesPerSecond bytes both ways of the log
 * @param hostListBytesPerSecond bytes both ways of the host list
 * @param peerBytesPerSecond bytes both ways of other entry hosts
 * @param statusBytesPerSecond those of them for the exchange of statuses
 * @param statusMessagesPerSecond statuses sent and received
 * @param appendsPerSecond appends to the log
 * @param entriesPerSecond entries in these appends
 * @param readsPerSecond reads of the log
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
  private static final double MS_PER_PERCENT_SECOND = 10;

  static DaemonCost between(Snapshot before, Snapshot after, long heapKb) {
    double seconds = (after.atNs() - before.atNs()) / NS_PER_SECOND;
    double cpuMs = after.usage().cpuMs() - before.usage().cpuMs();
    return new DaemonCost(
        cpuMs / seconds / MS_PER_PERCENT_SECOND,
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
