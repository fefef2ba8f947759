package org.hickorymoor.process;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;
import org.hickorymoor.standins.proxy.FaultProxy;
import org.hickorymoor.standins.proxy.ProxyFaults;

/**
 * An entry host that reaches the log, the workers and its peers through proxies, and is reached by
 * its peers through one, so that it can be cut off from each of them.
 */
final class CutOffHost {

  private final Cell cell;
  private final String hostId;
  private final String hostList;
  private final FaultProxy log;
  private final FaultProxy fromPeers;
  private final Map<String, FaultProxy> toPeers = new LinkedHashMap<>();
  private final Map<String, FaultProxy> toWorkers = new LinkedHashMap<>();

  /** Starts the host. The workers of its failure domain are started and listed already. */
  CutOffHost(Cell cell, String hostId, String domain, String... options) {
    this.cell = cell;
    this.hostId = hostId;
    this.hostList = cell.startHostList();
    this.log = cell.startProxy(cell.logAddress());
    for (String workerId : cell.workerIds(domain)) {
      FaultProxy proxy = cell.startProxy(cell.workerAddress(workerId));
      toWorkers.put(workerId, proxy);
      cell.listIn(hostList, workerId, HostRole.WORKER, domain, proxy.address(), HostState.LIVE);
    }
    cell.reachLogAt(log.address());
    cell.readHostsAt(hostList);
    cell.startDaemon(hostId, domain, options);
    cell.reachLogAt(cell.logAddress());
    cell.readHostsAt(cell.hostsAddress());
    fromPeers = cell.startProxy(cell.peerAddress(hostId));
    cell.listIn(hostList, hostId, HostRole.ENTRY, domain, cell.peerAddress(hostId), HostState.LIVE);
    cell.list(hostId, HostRole.ENTRY, domain, fromPeers.address(), HostState.LIVE);
  }

  String hostId() {
    return hostId;
  }

  /** Lets the host know of a peer that is started already. */
  void addPeer(String peerId, String domain) {
    FaultProxy proxy = cell.startProxy(cell.peerAddress(peerId));
    toPeers.put(peerId, proxy);
    cell.listIn(hostList, peerId, HostRole.ENTRY, domain, proxy.address(), HostState.LIVE);
  }

  void cutLog(boolean cut) {
    log.setFaults(ProxyFaults.NONE.withCut(cut));
  }

  void cutPeers(boolean cut) {
    ProxyFaults faults = ProxyFaults.NONE.withCut(cut);
    fromPeers.setFaults(faults);
    toPeers.values().forEach(proxy -> proxy.setFaults(faults));
  }

  /** Cuts the host off from the first workers. */
  void cutWorkers(int count, boolean cut) {
    ProxyFaults faults = ProxyFaults.NONE.withCut(cut);
    toWorkers.values().stream().limit(count).forEach(proxy -> proxy.setFaults(faults));
  }
}
