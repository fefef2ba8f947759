package org.hickorymoor.daemon.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.peer.PeerClient;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest.Status;
import org.hickorymoor.daemon.peer.PeerServer;
import org.hickorymoor.daemon.peer.PeerSettings;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.protocol.platform.HostList;
import org.junit.jupiter.api.Test;

class MembershipOverPeersTest {

  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final PeerSettings SETTINGS =
      PeerSettings.defaults("kano", "north").withStopGraceMs(0);

  @Test
  void findsCoordinatorBySeedAddressAndDetectsItsFailure() throws IOException {
    Status coordinator = new Status("e2", "i1", "kano", true, 3, 7, false);
    PeerServer server =
        new PeerServer(
            "127.0.0.1:0",
            request -> CompletableFuture.completedFuture(new PeerReply.StatusReply(coordinator)),
            SETTINGS,
            new MetricRegistry());
    server.start();
    final PeerClient client = new PeerClient(SETTINGS, new MetricRegistry());
    client.start();
    Membership membership = membership(client, server.address());
    membership.start();
    try {
      await()
          .atMost(LIMIT)
          .until(() -> membership.coordinatorAddress().equals(Optional.of(server.address())));
      assertThat(membership.statusOf("e2")).hasValue(coordinator);

      server.stop();

      await().atMost(LIMIT).until(() -> membership.conditionOf("e2") == HostCondition.DEAD);
      assertThat(membership.coordinatorAddress()).isEmpty();
    } finally {
      membership.stop();
      client.stop();
      server.stop();
    }
  }

  private static Membership membership(PeerClient client, String seed) {
    MembershipSettings settings =
        new MembershipSettings(
            "e1", "kano", "north", "127.0.0.1:1", List.of(seed), 50, 50, 1_000, 500, 500, 1_500);
    return new Membership(
        settings,
        timeoutMs -> unavailableHostList(),
        client::call,
        () -> new Status("e1", "i1", "kano", false, 0, 0, false),
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  private static CompletableFuture<HostList> unavailableHostList() {
    return CompletableFuture.failedFuture(
        new PlatformException(PlatformException.Type.UNREACHABLE, "host list is unavailable"));
  }
}
