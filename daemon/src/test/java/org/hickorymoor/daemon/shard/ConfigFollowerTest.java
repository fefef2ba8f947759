package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.cellconfig.CellConfig;
import org.hickorymoor.daemon.cellconfig.ConfigFollower;
import org.hickorymoor.daemon.cellconfig.ConfigFollowerSettings;
import org.hickorymoor.daemon.cellconfig.InvalidConfigException;
import org.hickorymoor.daemon.peer.PeerException;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.daemon.port.KeyedStream;
import org.junit.jupiter.api.Test;

/** Several followers with a fake store; in this package for its virtual time. */
final class ConfigFollowerTest {

  private static final long APPLY_MS = 4_000;

  /** What the page allows is 12 s; peers make it much shorter. */
  private static final long PEER_APPLY_MS = 2_000;

  private record Version(long version) implements CellConfig {
    @Override
    public String summary() {
      return "nothing";
    }
  }

  private record Host(VirtualTime.HostEventLoop loop, ConfigFollower<Version> follower) {}

  private final VirtualTime time = new VirtualTime(11);
  private final FakeStore store = new FakeStore(time);
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final List<String> registered = new ArrayList<>();
  private final Set<String> cutOff = new HashSet<>();
  private double lostReplyShare;

  private Host start(String name, List<String> knownHosts, List<String> seeds) {
    VirtualTime.HostEventLoop loop = time.new HostEventLoop();
    ConfigFollower<Version> follower =
        new ConfigFollower<>(
            new ConfigFollowerSettings(name, seeds, "config", APPLY_MS),
            store.port(name),
            (address, request, timeoutMs) -> call(name, address, request, timeoutMs),
            () -> knownHosts,
            loop,
            ConfigFollowerTest::parse,
            new MetricRegistry());
    Host host = new Host(loop, follower);
    hosts.put(name, host);
    follower.start();
    return host;
  }

  private void startHosts(int count) {
    for (int i = 0; i < count; i++) {
      registered.add("h" + i);
      start("h" + i, registered, List.of());
    }
  }

  private static Version parse(byte[] content) throws InvalidConfigException {
    try {
      return new Version(Long.parseLong(new String(content, UTF_8)));
    } catch (NumberFormatException e) {
      throw new InvalidConfigException("expected a number");
    }
  }

  private CompletableFuture<PeerReply> call(
      String from, String to, PeerRequest request, long timeoutMs) {
    CompletableFuture<PeerReply> future = new CompletableFuture<>();
    time.after(timeoutMs, () -> future.completeExceptionally(lost(to)));
    if (hosts.containsKey(to) && !cutOff.contains(from) && !cutOff.contains(to)) {
      time.after(
          2,
          () ->
              follower(to)
                  .handle((PeerRequest.GetCellConfig) request)
                  .thenAccept(reply -> reply(future, reply)));
    }
    return future;
  }

  private void reply(CompletableFuture<PeerReply> future, PeerReply reply) {
    if (time.random().nextDouble() >= lostReplyShare) {
      time.after(2, () -> future.complete(reply));
    }
  }

  private static PeerException lost(String address) {
    return new PeerException(PeerException.Type.NO_RESPONSE, "no answer from " + address);
  }

  private ConfigFollower<Version> follower(String name) {
    return Objects.requireNonNull(hosts.get(name)).follower();
  }

  private void publish(String content) {
    store.put(KeyedStream.CONFIG, "config", content.getBytes(UTF_8));
  }

  private long version(String name) {
    Version current = follower(name).current();
    return current == null ? -1 : current.version();
  }

  private boolean allHave(long version) {
    return hosts.keySet().stream().allMatch(name -> version(name) == version);
  }

  // Guards against a revoked key that a host goes on serving because the store turns it away.
  @Test
  void hostsThatTheStoreTurnsAwayApplyNewVersionsFromPeers() {
    startHosts(9);
    publish("1");
    assertThat(time.advanceUntil(APPLY_MS, () -> allHave(1))).isTrue();
    for (long version = 2; version < 20; version++) {
      for (int i = 0; i < 9; i++) {
        store.refuseHost("h" + i, i % 3 == version % 3);
      }
      time.advance(500);

      publish(Long.toString(version));

      long newest = version;
      assertThat(time.advanceUntil(PEER_APPLY_MS, () -> allHave(newest))).isTrue();
      time.advance(PEER_APPLY_MS);
      hosts.keySet().forEach(name -> assertThat(follower(name).isConfirmed()).isTrue());
    }
  }

  // Guards against a follower that holds on to what a lost reply would have replaced.
  @Test
  void lostRepliesOfPeersDelayNewVersionOnly() {
    startHosts(6);
    publish("1");
    time.advance(1_000);
    lostReplyShare = 0.5;
    store.refuseHost("h0", true);
    time.advance(500);

    publish("2");

    assertThat(time.advanceUntil(APPLY_MS, () -> allHave(2))).isTrue();
  }

  // Guards against a peer with an older version that confirms or replaces a newer one.
  @Test
  void peerWithOlderVersionAsksForNewerOneAndChangesNothing() {
    startHosts(3);
    publish("1");
    time.advance(500);
    cutOff.add("h0");
    store.refuseHost("h0", true);
    publish("2");
    time.advance(APPLY_MS + 1_200);
    assertThat(version("h0")).isEqualTo(1);
    assertThat(follower("h0").isConfirmed()).isFalse();
    assertThat(follower("h0").isIsolated()).isTrue();

    // The store is silent to all, so that only the old host's own questions tell it of version 2.
    store.setUnresponsive(true);
    cutOff.clear();

    assertThat(time.advanceUntil(PEER_APPLY_MS, () -> allHave(2))).isTrue();
    time.advance(1_000);
    assertThat(allHave(2)).isTrue();
  }

  @Test
  void peerThatIsAskedByHostWithNewerVersionAsksItAtOnce() {
    startHosts(2);
    publish("1");
    time.advance(500);
    // The poll of h1 is held back by the store, without a failure that h1 could notice yet.
    store.refuseHost("h1", true);
    publish("2");
    time.advance(50);
    assertThat(version("h1")).isEqualTo(1);

    var unused = follower("h1").handle(new PeerRequest.GetCellConfig(1, "h0"));
    time.advance(10);

    assertThat(version("h1")).isEqualTo(2);
  }

  @Test
  void hostThatStartsWhileTheStoreTurnsItAwayAsksSeedsOfWhichSomeAreStale() {
    startHosts(2);
    publish("5");
    time.advance(500);
    store.refuseHost("new", true);

    start("new", List.of("new"), List.of("gone1", "gone2", "h1"));

    assertThat(time.advanceUntil(PEER_APPLY_MS, () -> version("new") == 5)).isTrue();
    time.advance(1_000);
    assertThat(follower("new").isConfirmed()).isTrue();
  }

  // Guards against a host that answers from an old version while nothing confirms it.
  @Test
  void hostIsUnconfirmedInAnOutageOfTheStoreButNotIsolated() {
    startHosts(3);
    publish("1");
    time.advance(500);
    store.setUnresponsive(true);
    time.advance(APPLY_MS + 1_200);

    hosts.keySet().forEach(name -> assertThat(follower(name).isConfirmed()).isFalse());
    hosts.keySet().forEach(name -> assertThat(follower(name).isIsolated()).isFalse());

    store.setUnresponsive(false);
    time.advance(2_000);
    hosts.keySet().forEach(name -> assertThat(follower(name).isConfirmed()).isTrue());
  }

  // Guards against the steady clock, which stands still while a host is suspended.
  @Test
  void suspendedHostIsUnconfirmedWhenItWakes() {
    startHosts(2);
    publish("1");
    time.advance(500);

    Objects.requireNonNull(hosts.get("h0")).loop().suspend(APPLY_MS + 1_000);
    time.advance(APPLY_MS + 500);

    assertThat(follower("h0").isConfirmed()).isFalse();
  }

  @Test
  void newestVersionHoldsAfterHistoryIsDroppedAndTheRecordDeleted() {
    startHosts(2);
    publish("3");
    time.advance(500);
    store.compact();
    publish("");
    publish("2");
    publish("no number");
    store.compact();
    time.advance(2_500);
    assertThat(allHave(3)).isTrue();

    publish("");
    time.advance(1_000);
    start("new", registered, List.of());

    assertThat(time.advanceUntil(PEER_APPLY_MS, () -> version("new") == 3)).isTrue();
    publish("4");
    assertThat(time.advanceUntil(PEER_APPLY_MS, () -> allHave(4))).isTrue();
  }
}
