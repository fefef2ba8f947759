package org.hickorymoor.domain.lease;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorymoor.domain.lease.WorkerLease.State;
import org.hickorymoor.domain.lease.WorkerLeaseSimulation.Period;
import org.junit.jupiter.api.Test;

final class WorkerLeaseTest {

  private static final LeaseSettings SETTINGS = new LeaseSettings(1_000, 100);

  @Test
  void holdsWorkerIfOnlyOwnLeaseIsListed() {
    WorkerLease lease = new WorkerLease(SETTINGS);
    lease.placed("hold:a:1");

    State state = lease.listed(5_000, new LeaseView(true, 77_000, false));

    assertThat(state).isEqualTo(State.HELD);
    assertThat(lease.authorityUntilMs()).isEqualTo(5_900);
    assertThat(lease.commandDeadlineMs()).isEqualTo(77_000);
  }

  @Test
  void withdrawsIfAnotherLeaseIsListed() {
    WorkerLease lease = new WorkerLease(SETTINGS);
    lease.placed("hold:a:1");

    State state = lease.listed(5_000, new LeaseView(true, 77_000, true));

    assertThat(state).isEqualTo(State.WITHDRAWING);
    assertThat(lease.authorityUntilMs()).isEqualTo(Long.MIN_VALUE);
  }

  @Test
  void losesWorkerIfOwnLeaseIsNoLongerListed() {
    WorkerLease lease = new WorkerLease(SETTINGS);
    lease.placed("hold:a:1");
    lease.listed(5_000, new LeaseView(true, 77_000, false));

    State state = lease.listed(7_000, new LeaseView(false, 0, true));

    assertThat(state).isEqualTo(State.FREE);
    assertThat(lease.authorityUntilMs()).isEqualTo(Long.MIN_VALUE);
  }

  @Property(seed = "41", tries = 400)
  void commandsOfOneHolderExpireBeforeAnotherHolderLists(@ForAll long seed) {
    List<Period> periods = new WorkerLeaseSimulation(seed, true).run();

    assertWithMessage("periods in which a host held the worker").that(periods).isNotEmpty();
    assertThat(overlaps(periods)).isEmpty();
  }

  @Test
  void hostsThatIgnoreOtherLeasesAreDetected() {
    Random seeds = new Random(42);
    boolean detected = false;
    for (int i = 0; i < 100 && !detected; i++) {
      detected = !overlaps(new WorkerLeaseSimulation(seeds.nextLong(), false).run()).isEmpty();
    }

    assertThat(detected).isTrue();
  }

  /** Finds pairs of periods of different hosts that overlap on the worker's clock. */
  private static List<String> overlaps(List<Period> periods) {
    List<String> found = new ArrayList<>();
    for (Period first : periods) {
      for (Period second : periods) {
        boolean shared =
            first.host() != second.host()
                && first.listedMs() <= second.listedMs()
                && first.commandDeadlineMs() > second.listedMs();
        if (shared) {
          found.add(first + " and " + second);
        }
      }
    }
    return found;
  }
}
