package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class HeartbeatHistorySuspensionTest {

  @Test
  void suspendedHostNeverPassesBoundEarly() {
    int passed = 0;
    for (long seed = 1; seed <= 100; seed++) {
      passed += new SuspendedHost(seed, false).run();
    }

    assertThat(passed).isGreaterThan(0);
  }

  // As a coordinator, which has observed its own claim before it asks.
  @Test
  void suspendedHostThatHasObservedTheNextTermNeverPassesBoundEarly() {
    int passed = 0;
    for (long seed = 1; seed <= 100; seed++) {
      passed += new SuspendedHost(seed, true).run();
    }

    assertThat(passed).isGreaterThan(0);
  }

  /** Observes two terms with gaps and suspensions, and compares the bounds with the truth. */
  private static final class SuspendedHost {
    private static final int FORMER_HEARTBEATS = 20;
    private static final int ALL_HEARTBEATS = 150;

    private final VirtualTime time;
    private final VirtualTime.HostEventLoop loop;
    private final HeartbeatHistory history;
    private final List<Long> appendedMs = new ArrayList<>();
    private final String seed;
    private final boolean asksInNextTermOnly;
    private boolean inNextTerm;
    private int passed;

    SuspendedHost(long seed, boolean asksInNextTermOnly) {
      this.asksInNextTermOnly = asksInNextTermOnly;
      time = new VirtualTime(seed);
      loop = time.new HostEventLoop();
      history = new HeartbeatHistory(loop, 6_000);
      this.seed = "seed " + seed;
    }

    /** Returns how often the bound of the former leases had passed. */
    int run() {
      Random random = time.random();
      for (int i = 0; i < ALL_HEARTBEATS; i++) {
        int offset = i;
        appendedMs.add(time.nowMs());
        if (random.nextInt(5) > 0) {
          long epoch = offset < FORMER_HEARTBEATS ? 1 : 2;
          CoordinatorRecord heartbeat = new CoordinatorRecord(epoch, "h", "h", "n", false, 0);
          loop.schedule(random.nextInt(50), () -> observe(heartbeat, offset));
        }
        if (random.nextInt(10) == 0) {
          loop.suspend(random.nextInt(3_000));
        }
        time.advance(100 + random.nextInt(400));
        // As a task of the host, since a suspended host takes no decision.
        loop.execute(this::check);
      }
      return passed;
    }

    private void observe(CoordinatorRecord heartbeat, int offset) {
      history.onObserved(heartbeat, offset);
      inNextTerm |= heartbeat.epoch() == 2;
    }

    private void check() {
      for (int offset = 0; offset < appendedMs.size(); offset++) {
        long sinceNs = loop.nowNs() - history.appendedByNs(offset);
        assertWithMessage(seed)
            .that(TimeUnit.NANOSECONDS.toMillis(sinceNs))
            .isAtMost(time.nowMs() - appendedMs.get(offset));
      }
      if (asksInNextTermOnly && !inNextTerm) {
        return;
      }
      if (loop.nowNs() - history.formerLeasesEndNs(2) >= 0) {
        passed++;
        long lastMs = appendedMs.get(Math.min(appendedMs.size(), FORMER_HEARTBEATS) - 1);
        assertWithMessage(seed)
            .that(time.nowMs())
            .isAtLeast(lastMs + HeartbeatHistory.MAX_LEASE_AFTER_TERM_MS);
      }
    }
  }
}
