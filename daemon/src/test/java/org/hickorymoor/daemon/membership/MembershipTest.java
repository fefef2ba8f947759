package org.hickorymoor.daemon.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorymoor.daemon.peer.PeerAddress;
import org.hickorymoor.daemon.peer.PeerException;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.daemon.peer.PeerRequest.Status;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostList;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;
import org.junit.jupiter.api.Test;

class MembershipTest {

  private static final MembershipSettings SETTINGS =
      new MembershipSettings(
          "e1",
          "kano",
          "north",
          "10.0.0.1:1",
          List.of("10.0.0.2:1"),
          100,
          100,
          1_000,
          100,
          300,
          1_000);

  private final AtomicLong nowMs = new AtomicLong(10_000);
  private final Map<String, Status> statusByAddress = new HashMap<>();
  private final List<String> calledAddresses = new ArrayList<>();
  private final List<String> changes = new ArrayList<>();
  private List<HostEntry> listedHosts = List.of();
  private boolean hostListAvailable = true;
  private boolean coordinator;
  private final Membership membership =
      new Membership(SETTINGS, this::hosts, this::call, this::ownStatus, nowMs::get);

  MembershipTest() {
    membership.addListener(
        change ->
            changes.add(change.host().hostId() + " " + change.before() + " " + change.after()));
  }

  @Test
  void seedsAreContactedUntilHostListIsRead() {
    hostListAvailable = false;
    statusByAddress.put("10.0.0.2:1", status("e2", "kano", false));

    membership.pollHostList();
    membership.exchangeStatuses();

    assertThat(membership.livePeers().stream().map(HostEntry::address))
        .containsExactly("10.0.0.2:1");
  }

  @Test
  void workersAreLimitedToOwnDomain() {
    setHostList(worker("w1", "kano", HostState.LIVE), worker("w2", "abuja", HostState.LIVE));

    assertThat(membership.workers()).containsExactly(worker("w1", "kano", HostState.LIVE));
  }

  @Test
  void leavingWorkerIsReported() {
    setHostList(worker("w1", "kano", HostState.LIVE));
    setHostList(worker("w1", "kano", HostState.LEAVING));
    setHostList();

    assertThat(changes)
        .containsExactly("w1 UNKNOWN LIVE", "w1 LIVE LEAVING", "w1 LEAVING UNKNOWN")
        .inOrder();
  }

  @Test
  void listedHostIsLiveAfterItsFirstStatus() {
    setHostList(entry("e2", "kano"));
    assertThat(membership.livePeers()).isEmpty();

    statusByAddress.put(addressOf("e2"), status("e2", "kano", false));
    membership.exchangeStatuses();

    assertThat(membership.livePeers()).containsExactly(entry("e2", "kano"));
    assertThat(changes).containsExactly("e2 UNKNOWN NEW", "e2 NEW LIVE").inOrder();
  }

  @Test
  void silentHostIsPausedThenDeadAndLiveAfterNextStatus() {
    setHostList(entry("e2", "kano"));
    membership.statusReceived(status("e2", "kano", false));

    advanceWithExchanges(300);
    assertThat(membership.conditionOf("e2")).isEqualTo(HostCondition.PAUSED);
    advanceWithExchanges(700);
    assertThat(membership.conditionOf("e2")).isEqualTo(HostCondition.DEAD);
    membership.statusReceived(status("e2", "kano", false));
    assertThat(membership.conditionOf("e2")).isEqualTo(HostCondition.LIVE);
  }

  @Test
  void silenceDuringOwnPauseIsIgnored() {
    setHostList(entry("e2", "kano"));
    membership.exchangeStatuses();
    membership.statusReceived(status("e2", "kano", false));

    nowMs.addAndGet(5_000);
    membership.exchangeStatuses();

    assertThat(membership.conditionOf("e2")).isEqualTo(HostCondition.LIVE);
  }

  @Test
  void restartOfPeerIsReportedAsDeadThenLive() {
    setHostList(entry("e2", "kano"));
    membership.statusReceived(new Status("e2", "i1", "kano", false, 0, 0, false));
    changes.clear();

    membership.statusReceived(new Status("e2", "i2", "kano", false, 0, 0, false));

    assertThat(changes).containsExactly("e2 LIVE DEAD", "e2 DEAD LIVE").inOrder();
  }

  @Test
  void leavingPeerIsNotLive() {
    setHostList(entry("e2", "kano"));
    membership.statusReceived(new Status("e2", "i1", "kano", false, 0, 0, true));

    assertThat(membership.livePeers()).isEmpty();
    assertThat(membership.conditionOf("e2")).isEqualTo(HostCondition.LEAVING);
  }

  @Test
  void deadHostOutsideHostListIsRemoved() {
    setHostList(entry("e2", "kano"));
    setHostList();
    advanceWithExchanges(1_000);

    assertThat(membership.entryHost("e2")).isEmpty();
  }

  @Test
  void coordinatorIsHostThatReportsItself() {
    setHostList(entry("e2", "kano"), entry("e3", "kano"));
    assertThat(membership.coordinatorAddress()).isEmpty();

    membership.statusReceived(status("e3", "kano", true));
    assertThat(membership.coordinatorAddress()).hasValue(addressOf("e3"));

    coordinator = true;
    assertThat(membership.coordinatorAddress()).hasValue(SETTINGS.address());
  }

  @Test
  void entryAddressInOtherDomainPrefersCoordinatorThenLiveHosts() {
    setHostList(entry("a1", "abuja"), entry("a2", "abuja"), entry("a3", "abuja"));
    membership.statusReceived(status("a2", "abuja", false));
    assertThat(membership.entryAddressIn("abuja")).hasValue(addressOf("a2"));

    membership.statusReceived(status("a3", "abuja", true));
    assertThat(membership.entryAddressIn("abuja")).hasValue(addressOf("a3"));
    assertThat(membership.entryAddressIn("kaduna")).isEmpty();
  }

  @Test
  void oneHostOfEachOtherDomainIsContactedAtRemoteInterval() {
    setHostList(entry("a1", "abuja"), entry("a2", "abuja"), entry("k1", "kaduna"));

    membership.exchangeStatuses();
    assertThat(calledAddresses).hasSize(2);
    advanceWithExchanges(900);
    assertThat(calledAddresses).hasSize(2);
    advanceWithExchanges(100);
    assertThat(calledAddresses).hasSize(4);
  }

  private void advanceWithExchanges(long forMs) {
    for (long passedMs = 0; passedMs < forMs; passedMs += SETTINGS.statusMs()) {
      nowMs.addAndGet(SETTINGS.statusMs());
      membership.exchangeStatuses();
    }
  }

  private void setHostList(HostEntry... hosts) {
    listedHosts = List.of(hosts);
    membership.pollHostList();
  }

  private CompletableFuture<HostList> hosts(long timeoutMs) {
    return hostListAvailable
        ? CompletableFuture.completedFuture(new HostList(listedHosts))
        : CompletableFuture.failedFuture(
            new PlatformException(PlatformException.Type.UNREACHABLE, "host list is unavailable"));
  }

  private CompletableFuture<PeerReply> call(PeerAddress peer, PeerRequest request, long timeoutMs) {
    calledAddresses.add(peer.address());
    Status status = statusByAddress.get(peer.address());
    return status != null
        ? CompletableFuture.completedFuture(new PeerReply.StatusReply(status))
        : CompletableFuture.failedFuture(
            new PeerException(PeerException.Type.UNREACHABLE, "no peer at " + peer.address()));
  }

  private Status ownStatus() {
    return status("e1", "kano", coordinator);
  }

  private static Status status(String hostId, String domain, boolean coordinator) {
    return new Status(hostId, "i1", domain, coordinator, 0, 0, false);
  }

  private static HostEntry entry(String hostId, String domain) {
    return new HostEntry(
        hostId, HostRole.ENTRY, domain, "north", "r1", addressOf(hostId), HostState.LIVE);
  }

  private static HostEntry worker(String hostId, String domain, HostState state) {
    return new HostEntry(hostId, HostRole.WORKER, domain, "north", "r1", "10.1.0.1:1", state);
  }

  private static String addressOf(String hostId) {
    return hostId + ":1";
  }
}
