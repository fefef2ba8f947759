package org.hickorymoor.daemon;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.config.ConfigService;
import org.hickorymoor.daemon.entry.Router;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.protocol.platform.HostEntry;

/**
 * Periodically fetches newer configurations from peers, so that a host without access to the log
 * still receives them within seconds. Thread-safe.
 */
final class PeerConfigFetcher {

  private static final long CALL_TIMEOUT_MS = 2_000;
  private static final int MAX_RECORDS = 8;

  private final ConfigService config;
  private final MembershipView membershipView;
  private final Router.PeerCaller peerCaller;
  private int nextPeer;

  PeerConfigFetcher(
      ConfigService config, MembershipView membershipView, Router.PeerCaller peerCaller) {
    this.config = config;
    this.membershipView = membershipView;
    this.peerCaller = peerCaller;
  }

  void start(ScheduledExecutorService executor, long periodMs) {
    executor.scheduleWithFixedDelay(this::fetchNewer, periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  private void fetchNewer() {
    long ownOffset = config.status().appliedOffset();
    List<HostEntry> newerPeers =
        membershipView.livePeers().stream()
            .filter(peer -> hasNewerConfig(peer, ownOffset))
            .toList();
    if (!newerPeers.isEmpty()) {
      // Round robin, because a peer may be unreachable or its reported offset out of date.
      fetch(newerPeers.get(Math.floorMod(nextPeer++, newerPeers.size())), ownOffset);
    }
  }

  private boolean hasNewerConfig(HostEntry peer, long ownOffset) {
    return membershipView
        .statusOf(peer.hostId())
        .map(status -> status.configOffset() > ownOffset)
        .orElse(false);
  }

  private void fetch(HostEntry peer, long ownOffset) {
    peerCaller
        .call(peer.address(), new PeerRequest.FetchConfig(ownOffset, MAX_RECORDS), CALL_TIMEOUT_MS)
        .thenAccept(
            reply -> {
              if (reply instanceof PeerReply.ConfigReply records) {
                config.applyPeerRecords(records.records());
              }
            });
  }
}
