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

  private void start(String name) {
    VirtualTime.HostEventLoop loop = time.new HostEventLoop();
    ConfigFollower<Version> follower =
        new ConfigFollower<>(
            new ConfigFollowerSettings(name, List.of(), "config", APPLY_MS),
            store.port(name),
            (address, request, timeoutMs) -> call(name, address, request, timeoutMs),
            () -> registered,
            loop,
            ConfigFollowerTest::parse,
            new MetricRegistry());
    hosts.put(name, new Host(loop, follower));
    follower.start();
  }

  private void startHosts(int count) {
    for (int i = 0; i < count; i++) {
      registered.add("h" + i);
      start("h" + i);
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
    PeerException silent = new PeerException(PeerException.Type.NO_RESPONSE, to + " is silent");
    time.after(timeoutMs, () -> future.completeExceptionally(silent));
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

  private Host host(String name) {
    return Objects.requireNonNull(hosts.get(name));
  }

  private ConfigFollower<Version> follower(String name) {
    return host(name).follower();
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

  private boolean allAre(boolean confirmed) {
    return hosts.values().stream().allMatch(host -> host.follower().isConfirmed() == confirmed);
  }

  // Guards against a revoked key that a host goes on serving because the store turns it away, and
  // against a follower that waits for a lost reply.
  @Test
  void hostsThatTheStoreTurnsAwayApplyNewVersionsFromPeersThoughRepliesAreLost() {
    startHosts(9);
    publish("1");
    time.advance(500);
    lostReplyShare = 0.2;
    for (long version = 2; version < 20; version++) {
      for (int i = 0; i < 9; i++) {
        store.refuseHost("h" + i, i % 3 == version % 3);
      }
      time.advance(500);

      publish(Long.toString(version));

      long newest = version;
      assertThat(time.advanceUntil(PEER_APPLY_MS, () -> allHave(newest))).isTrue();
      time.advance(PEER_APPLY_MS);
      assertThat(allAre(true)).isTrue();
    }
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
    assertThat(follower("h0").isIsolated()).isTrue();

    // In an outage of the whole store peers still answer, but none is confirmed for long.
    store.setUnresponsive(true);
    cutOff.clear();

    assertThat(time.advanceUntil(PEER_APPLY_MS, () -> allHave(2))).isTrue();
    time.advance(APPLY_MS + 1_200);
    assertThat(allHave(2)).isTrue();
    assertThat(allAre(false)).isTrue();
    assertThat(follower("h0").isIsolated()).isFalse();
  }

  // Guards against an old version that stays where the store neither answers nor fails.
  @Test
  void hostThatIsAskedByOneWithNewerVersionAsksItAtOnce() {
    startHosts(2);
    publish("1");
    time.advance(500);
    store.refuseHost("h1", true);
    publish("2");
    time.advance(50);
    assertThat(version("h1")).isEqualTo(1);

    var unused = follower("h1").handle(new PeerRequest.GetCellConfig(1, "h0"));
    time.advance(10);

    assertThat(version("h1")).isEqualTo(2);
  }

  // Guards against a connection to the store that has gone silent, which no failure shows in time.
  @Test
  void hostWhoseReadIsUnansweredBeyondItsWaitAsksPeers() {
    startHosts(2);
    publish("1");
    time.advance(20);
    store.refuseHost("h1", true);
    publish("2");

    assertThat(time.advanceUntil(1_250, () -> allHave(2))).isTrue();
  }

  // Guards against the steady clock, which stands still while a host is suspended, and against an
  // outage after which a host waits for one more poll.
  @Test
  void suspendedHostIsUnconfirmedUntilTheStoreAnswersAgain() {
    startHosts(2);
    publish("1");
    time.advance(500);
    store.setUnresponsive(true);
    host("h0").loop().suspend(APPLY_MS + 1_000);
    time.advance(APPLY_MS + 1_200);
    assertThat(allAre(false)).isTrue();

    store.setUnresponsive(false);

    assertThat(time.advanceUntil(PEER_APPLY_MS, () -> allAre(true))).isTrue();
  }

  // Guards against a version that is lost or goes back when the store forgets it.
  @Test
  void newestVersionHoldsAfterHistoryIsDroppedAndTheRecordDeleted() {
    startHosts(2);
    for (String content : List.of("3", "", "2", "no number", "")) {
      publish(content);
      store.compact();
      time.advance(1_500);
      assertThat(allHave(3)).isTrue();
    }

    start("new");

    assertThat(time.advanceUntil(PEER_APPLY_MS, () -> allHave(3))).isTrue();
    publish("4");
    assertThat(time.advanceUntil(PEER_APPLY_MS, () -> allHave(4))).isTrue();
  }

  // Guards against readiness that flaps in an outage of the store because most of the registered
  // hosts died long ago.
  @Test
  void hostsStayReadyInAnOutageOfTheStoreThoughMostRegisteredOnesAreGone() {
    startHosts(4);
    for (int i = 0; i < 36; i++) {
      registered.add("gone" + i);
    }
    publish("1");
    time.advance(500);
    store.setUnresponsive(true);
    time.advance(3 * APPLY_MS);

    int isolated = 0;
    for (int i = 0; i < 600; i++) {
      time.advance(100);
      isolated += (int) hosts.values().stream().filter(h -> h.follower().isIsolated()).count();
    }

    assertThat(isolated).isEqualTo(0);
  }
}
