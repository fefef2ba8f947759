package org.hickorymoor.domain.lease;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorymoor.domain.lease.HoldSimulation.Period;
import org.hickorymoor.domain.lease.WorkerHold.State;
import org.junit.jupiter.api.Test;

final class WorkerHoldTest {

  private static final HoldSettings SETTINGS = new HoldSettings(1_000, 100);

  @Test
  void holdsTheWorkerWhenOnlyItsOwnLeaseIsListed() {
    WorkerHold hold = new WorkerHold(SETTINGS);
    hold.placed("hold:a:1");

    State state = hold.listed(5_000, new HoldView(true, 77_000, false));

    assertThat(state).isEqualTo(State.HELD);
    assertThat(hold.authorityUntilMs()).isEqualTo(5_900);
    assertThat(hold.commandLimitMs()).isEqualTo(77_000);
  }

  @Test
  void withdrawsWhenAnotherLeaseIsListed() {
    WorkerHold hold = new WorkerHold(SETTINGS);
    hold.placed("hold:a:1");

    State state = hold.listed(5_000, new HoldView(true, 77_000, true));

    assertThat(state).isEqualTo(State.WITHDRAWING);
    assertThat(hold.authorityUntilMs()).isEqualTo(Long.MIN_VALUE);
  }

  @Test
  void losesTheWorkerWhenItsOwnLeaseIsNoLongerListed() {
    WorkerHold hold = new WorkerHold(SETTINGS);
    hold.placed("hold:a:1");
    hold.listed(5_000, new HoldView(true, 77_000, false));

    State state = hold.listed(7_000, new HoldView(false, 0, true));

    assertThat(state).isEqualTo(State.FREE);
    assertThat(hold.authorityUntilMs()).isEqualTo(Long.MIN_VALUE);
  }

  @Property(seed = "41", tries = 400)
  void noCommandOfOneHolderIsValidAfterAnotherHasListed(@ForAll long seed) {
    List<Period> periods = new HoldSimulation(seed, true).run();

    assertWithMessage("held at all").that(periods).isNotEmpty();
    assertThat(overlaps(periods)).isEmpty();
  }

  @Test
  void hostsThatDoNotLookAtOthersAreCaught() {
    Random seeds = new Random(42);
    boolean caught = false;
    for (int i = 0; i < 100 && !caught; i++) {
      caught = !overlaps(new HoldSimulation(seeds.nextLong(), false).run()).isEmpty();
    }

    assertThat(caught).isTrue();
  }

  /** Finds pairs of periods of different hosts that share a time on the worker's clock. */
  private static List<String> overlaps(List<Period> periods) {
    List<String> found = new ArrayList<>();
    for (Period first : periods) {
      for (Period second : periods) {
        boolean shared =
            first.host() != second.host()
                && first.listedMs() <= second.listedMs()
                && first.commandLimitMs() > second.listedMs();
        if (shared) {
          found.add(first + " and " + second);
        }
      }
    }
    return found;
  }
}
