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

/**
 * Adapts the membership to the interfaces of the coordinator and the router. Knows no host until a
 * membership is attached. Thread-safe.
 */
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
    Membership current = membership;
    return current == null ? List.of() : current.workers();
  }

  boolean knowsWorker(String workerId) {
    return workers().stream().anyMatch(worker -> worker.hostId().equals(workerId));
  }

  /** Returns the other live entry hosts of the failure domain. */
  List<HostEntry> livePeers() {
    Membership current = membership;
    return current == null ? List.of() : current.livePeers();
  }

  Optional<Status> statusOf(String peerId) {
    Membership current = membership;
    return current == null ? Optional.empty() : current.statusOf(peerId);
  }

  /** Returns the live peer whose last status reported that it is the coordinator. */
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
    Membership current = membership;
    return current == null ? Optional.empty() : current.entryAddressIn(otherDomain);
  }

  @Override
  public boolean isDomainEntryHost(String otherHostId) {
    Membership current = membership;
    return current != null
        && current.entryHost(otherHostId).map(host -> host.domain().equals(domain)).orElse(false);
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
