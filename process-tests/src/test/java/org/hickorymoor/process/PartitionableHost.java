package org.hickorymoor.process;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;
import org.hickorymoor.standins.proxy.FaultProxy;
import org.hickorymoor.standins.proxy.ProxyFaults;

/**
 * An entry host with proxies between it and the log, the workers and its peers, in both directions
 * for peers, so that it can be partitioned from each of them.
 */
final class PartitionableHost {

  private final Cell cell;
  private final String hostId;
  private final String hostList;
  private final FaultProxy log;
  private final FaultProxy inboundPeers;
  private final Map<String, FaultProxy> outboundPeers = new LinkedHashMap<>();
  private final Map<String, FaultProxy> toWorkers = new LinkedHashMap<>();

  /** Starts the host. The workers of its failure domain must already be registered. */
  PartitionableHost(Cell cell, String hostId, String domain, String... options) {
    this.cell = cell;
    this.hostId = hostId;
    this.hostList = cell.startHostList();
    this.log = cell.startProxy(cell.logAddress());
    for (String workerId : cell.workerIds(domain)) {
      FaultProxy proxy = cell.startProxy(cell.workerAddress(workerId));
      toWorkers.put(workerId, proxy);
      cell.registerHostIn(
          hostList, workerId, HostRole.WORKER, domain, proxy.address(), HostState.LIVE);
    }
    cell.setDaemonLogAddress(log.address());
    cell.setDaemonHostListAddress(hostList);
    cell.startDaemon(hostId, domain, options);
    cell.setDaemonLogAddress(cell.logAddress());
    cell.setDaemonHostListAddress(cell.hostsAddress());
    inboundPeers = cell.startProxy(cell.peerAddress(hostId));
    cell.registerHostIn(
        hostList, hostId, HostRole.ENTRY, domain, cell.peerAddress(hostId), HostState.LIVE);
    cell.registerHost(hostId, HostRole.ENTRY, domain, inboundPeers.address(), HostState.LIVE);
  }

  String hostId() {
    return hostId;
  }

  /** Registers a running peer in the host list that this host reads. */
  void addPeer(String peerId, String domain) {
    FaultProxy proxy = cell.startProxy(cell.peerAddress(peerId));
    outboundPeers.put(peerId, proxy);
    cell.registerHostIn(hostList, peerId, HostRole.ENTRY, domain, proxy.address(), HostState.LIVE);
  }

  void setLogPartitioned(boolean partitioned) {
    log.setFaults(ProxyFaults.NONE.withCut(partitioned));
  }

  void setPeersPartitioned(boolean partitioned) {
    ProxyFaults faults = ProxyFaults.NONE.withCut(partitioned);
    inboundPeers.setFaults(faults);
    outboundPeers.values().forEach(proxy -> proxy.setFaults(faults));
  }

  /** Partitions the host from the first {@code count} workers, or reconnects it. */
  void setWorkersPartitioned(int count, boolean partitioned) {
    ProxyFaults faults = ProxyFaults.NONE.withCut(partitioned);
    toWorkers.values().stream().limit(count).forEach(proxy -> proxy.setFaults(faults));
  }
}
