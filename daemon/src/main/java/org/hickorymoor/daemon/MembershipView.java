package org.hickorymoor.daemon;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hickorymoor.daemon.coordinator.ElectionPeers;
import org.hickorymoor.daemon.entry.PeerDirectory;
import org.hickorymoor.daemon.membership.Membership;
import org.hickorymoor.daemon.peer.PeerRequest.Status;
import org.hickorymoor.protocol.platform.HostEntry;
import org.jspecify.annotations.Nullable;

/** What membership says, in the terms of the coordinator and the entry. Thread-safe. */
final class MembershipView implements PeerDirectory, ElectionPeers {

  private final String hostId;
  private final String domain;
  private volatile @Nullable Membership membership;

  MembershipView(String hostId, String domain) {
    this.hostId = hostId;
    this.domain = domain;
  }

  void attach(Membership started) {
    membership = started;
  }

  List<HostEntry> workers() {
    Membership known = membership;
    return known == null ? List.of() : known.workers();
  }

  boolean knowsWorker(String workerId) {
    return workers().stream().anyMatch(worker -> worker.hostId().equals(workerId));
  }

  /** Returns the other live entry hosts of the failure domain. */
  List<HostEntry> livePeers() {
    Membership known = membership;
    return known == null ? List.of() : known.livePeers();
  }

  Optional<Status> statusOf(String peerId) {
    Membership known = membership;
    return known == null ? Optional.empty() : known.statusOf(peerId);
  }

  /** Returns the peer that says it is the coordinator, if it was heard lately. */
  Optional<HostEntry> coordinator() {
    return livePeers().stream()
        .filter(peer -> statusOf(peer.hostId()).map(Status::coordinator).orElse(false))
        .findFirst();
  }

  @Override
  public Optional<String> coordinatorAddress() {
    return coordinator().map(HostEntry::address);
  }

  @Override
  public Optional<String> entryAddressIn(String otherDomain) {
    Membership known = membership;
    return known == null ? Optional.empty() : known.entryAddressIn(otherDomain);
  }

  @Override
  public boolean isDomainEntryHost(String otherHostId) {
    Membership known = membership;
    return known != null
        && known.entryHost(otherHostId).map(host -> host.domain().equals(domain)).orElse(false);
  }

  @Override
  public boolean coordinatorAlive() {
    return coordinator().isPresent();
  }

  @Override
  public int rank() {
    return (int)
        Stream.concat(Stream.of(hostId), livePeers().stream().map(HostEntry::hostId))
            .filter(other -> other.compareTo(hostId) < 0)
            .count();
  }
}
