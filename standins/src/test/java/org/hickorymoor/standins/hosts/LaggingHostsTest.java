package org.hickorymoor.standins.hosts;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;
import org.junit.jupiter.api.Test;

final class LaggingHostsTest {

  private static final long LAG_MS = 2_000;

  private final AtomicLong clockMs = new AtomicLong();
  private final LaggingHosts hosts = new LaggingHosts(clockMs::get, LAG_MS);

  @Test
  void changeBecomesVisibleAfterLag() {
    hosts.put(host("w1"));
    clockMs.set(LAG_MS - 1);
    assertThat(hosts.visible().hosts()).isEmpty();

    clockMs.set(LAG_MS);
    assertThat(hosts.visible().hosts()).containsExactly(host("w1"));
  }

  @Test
  void eachChangeBecomesVisibleAfterItsOwnLag() {
    hosts.putVisible(host("w1"));
    hosts.remove("w1");
    clockMs.set(1_000);
    hosts.put(host("w2"));

    assertThat(hosts.visible().hosts()).containsExactly(host("w1"));
    clockMs.set(LAG_MS);
    assertThat(hosts.visible().hosts()).isEmpty();
    clockMs.set(LAG_MS + 1_000);
    assertThat(hosts.visible().hosts()).containsExactly(host("w2"));
  }

  private static HostEntry host(String hostId) {
    return new HostEntry(
        hostId, HostRole.WORKER, "kano", "north", "rack-1", "127.0.0.1:1", HostState.LIVE);
  }
}
