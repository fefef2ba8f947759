package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.daemon.port.KeyedStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against hosts that give no approvals since their entries in the registry are missing. */
final class HostRegistryTest {

  /** Longer than the store takes to execute an unanswered write, and than a refresh of the list. */
  private static final long SETTLED_MS = 10_000;

  private static final long STEP_MS = 50;
  private static final int OTHER_HOSTS = 1_200;

  private final VirtualTime time = new VirtualTime(12);
  private final FakeStore store = new FakeStore(time);

  private HostRegistry start(String host) {
    ShardSettings settings =
        new ShardSettings(
            host, "d", host, 6_000, FakeWorkers.HEARTBEAT_MS, FakeWorkers.DRAIN_MS, 1);
    HostRegistry registry = new HostRegistry(time.new HostEventLoop(), store.port(host), settings);
    registry.start();
    time.advance(STEP_MS);
    return registry;
  }

  private List<String> registered() {
    return store.keys(KeyedStream.HOSTS);
  }

  /** Stops a host; the store executes its removal seconds later and doesn't answer. */
  private void stopWithLateRemoval(HostRegistry registry) {
    store.loseWriteAnswers(1, 1);
    registry.stop();
    time.advance(STEP_MS);
    store.loseWriteAnswers(0, 0);
  }

  // Guards against a removal that the store executes after the next process has registered.
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5})
  void lateRemovalDoesNotRemoveTheEntryOfTheNextProcess(int hosts) {
    List<HostRegistry> formers = new ArrayList<>();
    for (int i = 0; i < hosts; i++) {
      formers.add(start("h" + i));
    }
    for (int i = 0; i < hosts; i++) {
      String host = "h" + i;
      time.advance(SETTLED_MS);
      stopWithLateRemoval(formers.get(i));
      final HostRegistry next = start(host);
      for (long ms = 0; ms < SETTLED_MS; ms += STEP_MS) {
        time.advance(STEP_MS);
        assertThat(registered()).contains(host);
      }
      assertThat(next.addresses()).hasSize(hosts);
    }
  }

  // Guards against an entry that is lost for any reason and stays so until the next restart.
  @Test
  void missingEntryIsRestored() {
    final HostRegistry first = start("h1");
    final HostRegistry second = start("h2");
    store.put(KeyedStream.HOSTS, "h1", new byte[0]);
    store.put(KeyedStream.HOSTS, "h2", new byte[0]);
    time.advance(SETTLED_MS);

    assertThat(registered()).containsExactly("h1", "h2");
    assertThat(first.addresses()).containsExactly("h1", "h2");
    assertThat(second.addresses()).containsExactly("h1", "h2");
  }

  // Guards against an entry with an outdated address, written late by a former process.
  @Test
  void entryWithAnotherAddressIsReplaced() {
    start("h1");
    HostRegistry second = start("h2");
    store.put(KeyedStream.HOSTS, "h1", "former".getBytes(UTF_8));
    time.advance(SETTLED_MS);

    assertThat(second.addresses()).containsExactly("h1", "h2");
  }

  // Guards against a coordinator that knows no host to ask for approvals.
  @Test
  void hostListsItselfWhileItsEntryIsMissing() {
    HostRegistry registry = start("h1");
    store.put(KeyedStream.HOSTS, "h1", new byte[0]);
    for (long ms = 0; ms < SETTLED_MS; ms += STEP_MS) {
      time.advance(STEP_MS);
      assertThat(registry.addresses()).containsExactly("h1");
    }
  }

  // Guards against hosts beyond the first page of the store's answer that are taken for missing.
  @Test
  void hostsOfAllPagesAreListed() {
    for (int i = 0; i < OTHER_HOSTS; i++) {
      String host = String.format("h%04d", i);
      store.put(KeyedStream.HOSTS, host, host.getBytes(UTF_8));
    }
    HostRegistry last = start("z");
    time.advance(SETTLED_MS);

    assertThat(last.addresses()).hasSize(OTHER_HOSTS + 1);
    assertThat(last.rank()).isEqualTo(OTHER_HOSTS);
    assertThat(store.appends()).isEqualTo(1);
  }

  // Guards against a removal that is given up since another host has registered meanwhile.
  @Test
  void stoppedHostIsRemovedThoughOthersHaveRegistered() {
    HostRegistry stopping = start("h1");
    start("h2");
    stopping.stop();
    time.advance(STEP_MS);

    assertThat(registered()).containsExactly("h2");
  }

  @Test
  void stoppedHostDoesNotRestoreItsEntry() {
    HostRegistry stopping = start("h1");
    stopping.stop();
    time.advance(SETTLED_MS);

    assertThat(registered()).isEmpty();
  }
}
