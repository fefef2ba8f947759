package org.hickorymoor.domain.customer;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.workload.TaskId;
import org.junit.jupiter.api.Test;

/**
 * Drives the ledger of use with random interleavings of starts, late orders, ends, lost workers,
 * takeovers and configurations, and compares it with what may be on the workers.
 */
final class CustomerUsageModelTest {

  private static final int SEEDS = 40;
  private static final int EVENTS = 1_500;
  private static final List<String> CUSTOMERS = List.of("a", "b");

  private enum Fault {
    NONE,
    USE_FORGOTTEN_AT_TAKEOVER,
    RELEASED_BEFORE_LEASE_END
  }

  /** A run that may be on a worker, or of which a late order may still arrive there. */
  private record Run(String customer, TaskId task, int number, ResourceTotals demand) {}

  private static final class Model {
    private final Random random;
    private final Fault fault;
    private final List<Run> mayRun = new ArrayList<>();
    private final List<Run> cutOff = new ArrayList<>();
    private final Map<String, CustomerPolicy> stored = new HashMap<>();
    private final Map<String, CustomerPolicy> expectedPolicies = new HashMap<>();
    private final EffectivePolicies policies = new EffectivePolicies();
    private CustomerUsage usage = new CustomerUsage();
    private long version;
    private int tasks;
    private int starts;
    private int violations;

    Model(long seed, Fault fault) {
      this.random = new Random(seed);
      this.fault = fault;
      for (String customer : CUSTOMERS) {
        stored.put(customer, randomPolicy(customer));
      }
      expectedPolicies.putAll(stored);
    }

    private CustomerPolicy randomPolicy(String customer) {
      Resources limit =
          new Resources(0, 0, random.nextInt(9), random.nextInt(3) * 10, random.nextInt(3));
      return new CustomerPolicy(customer, 1, limit);
    }

    private void start(String customer) {
      CustomerPolicy policy = policies.of(stored.getOrDefault(customer, randomPolicy(customer)));
      assertThat(policy).isEqualTo(expectedPolicies.get(customer));
      ResourceTotals demand =
          new ResourceTotals(1 + random.nextInt(3), random.nextInt(6), random.nextInt(2));
      int wanted = 1 + random.nextInt(4);
      int permitted = usage.permittedStarts(policy, demand, wanted);
      if (fault == Fault.NONE) {
        // The ledger must not hold back what fits either.
        assertThat(permitted).isEqualTo(fitting(policy, demand, wanted));
      }
      violations += permitted > fitting(policy, demand, wanted) ? 1 : 0;
      for (int i = 0; i < permitted; i++) {
        Run run = new Run(customer, new TaskId("job", 0, 0, tasks++ % 50), ++starts, demand);
        mayRun.add(run);
        recordPlaced(run);
      }
    }

    /**
     * Returns how many of the tasks fit, by what may be on the workers; one that doesn't fit starts
     * while the resources that it exceeds are less than half used.
     */
    private int fitting(CustomerPolicy policy, ResourceTotals demand, int wanted) {
      ResourceTotals used = ResourceTotals.NONE;
      for (Run run : mayRun) {
        if (run.customer.equals(policy.name())) {
          used = used.plus(run.demand);
        }
      }
      Resources limit = policy.limit();
      ResourceTotals sum = used;
      int count = 0;
      while (count < wanted && fits(sum = sum.plus(demand), limit)) {
        count++;
      }
      boolean exceedsOnlyWhereHalfIsFree =
          mayExceed(limit.cpuMillis(), used.cpuMillis(), demand.cpuMillis())
              && mayExceed(limit.memoryMb(), used.memoryMb(), demand.memoryMb())
              && mayExceed(limit.accelerators(), used.accelerators(), demand.accelerators());
      return Math.max(count, exceedsOnlyWhereHalfIsFree ? 1 : 0);
    }

    private static boolean mayExceed(long limit, long used, long demand) {
      return limit == 0 || used + demand <= limit || used < limit / 2.0;
    }

    private static boolean fits(ResourceTotals sum, Resources limit) {
      return (limit.cpuMillis() == 0 || sum.cpuMillis() <= limit.cpuMillis())
          && (limit.memoryMb() == 0 || sum.memoryMb() <= limit.memoryMb())
          && (limit.accelerators() == 0 || sum.accelerators() <= limit.accelerators());
    }

    private void recordPlaced(Run run) {
      // Repeated notifications must count once.
      for (int i = 0; i <= random.nextInt(2); i++) {
        usage.recordPlaced(run.customer, run.task, run.number, run.demand);
      }
    }

    private void recordReleased(Run run) {
      for (int i = 0; i <= random.nextInt(2); i++) {
        usage.recordReleased(run.task, run.number);
      }
    }

    /** Ends a run, on a worker that is cut off by the end of its lease. */
    private void endOneOf(List<Run> candidates) {
      if (!candidates.isEmpty()) {
        Run run = candidates.get(random.nextInt(candidates.size()));
        mayRun.remove(run);
        cutOff.remove(run);
        recordReleased(run);
      }
    }

    private void cutOneRunOff() {
      if (!mayRun.isEmpty()) {
        cutOff.add(mayRun.get(random.nextInt(mayRun.size())));
        if (fault == Fault.RELEASED_BEFORE_LEASE_END) {
          recordReleased(cutOff.get(cutOff.size() - 1));
        }
      }
    }

    private void takeOver() {
      usage = new CustomerUsage();
      if (fault != Fault.USE_FORGOTTEN_AT_TAKEOVER) {
        mayRun.forEach(this::recordPlaced);
      }
    }

    /** Applies a configuration that changes limits and removes or adds customers again. */
    private void configure() {
      Map<String, CustomerPolicy> named = new HashMap<>();
      for (String customer : CUSTOMERS) {
        if (random.nextInt(3) > 0) {
          named.put(customer, randomPolicy(customer));
        }
      }
      policies.update(new CustomerDirectory(++version, named));
      CUSTOMERS.forEach(policies::find);
      expectedPolicies.putAll(named);
    }

    int run() {
      for (int event = 0; event < EVENTS; event++) {
        switch (random.nextInt(11)) {
          case 0, 1, 2, 3 -> start(CUSTOMERS.get(random.nextInt(2)));
          case 4, 5, 6 -> endOneOf(mayRun);
          case 7 -> endOneOf(cutOff);
          case 8 -> cutOneRunOff();
          case 9 -> takeOver();
          default -> configure();
        }
      }
      assertThat(starts).isGreaterThan(EVENTS / 10);
      return violations;
    }
  }

  private static int violations(Fault fault) {
    int violations = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      violations += new Model(seed, fault).run();
    }
    return violations;
  }

  /** Guards against starts above the limit, and against room that is withheld. */
  @Test
  void permitsExactlyWhatFitsBesideEverythingThatMayRun() {
    assertThat(violations(Fault.NONE)).isEqualTo(0);
  }

  @Test
  void modelDetectsUseForgottenAtTakeover() {
    assertThat(violations(Fault.USE_FORGOTTEN_AT_TAKEOVER)).isGreaterThan(0);
  }

  @Test
  void modelDetectsReleaseBeforeEndOfLease() {
    assertThat(violations(Fault.RELEASED_BEFORE_LEASE_END)).isGreaterThan(0);
  }
}
