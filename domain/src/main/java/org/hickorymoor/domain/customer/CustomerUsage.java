package org.hickorymoor.domain.customer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorymoor.domain.workload.TaskId;

/**
 * Ledger of the resources that each customer's tasks may be using.
 *
 * <p>A run counts from its placement until it is certainly on no worker. Recording the placement or
 * the release of a run again has no effect. Not thread-safe.
 */
public final class CustomerUsage {

  /** Identifies a run of a task. */
  private record RunId(TaskId task, int run) {}

  /** What a customer has in use. */
  private static final class Account {
    private final String customer;
    private final Map<RunId, ResourceTotals> runs = new HashMap<>();
    private ResourceTotals used = ResourceTotals.NONE;

    Account(String customer) {
      this.customer = customer;
    }
  }

  private final Map<String, Account> accounts = new HashMap<>();
  private final Map<RunId, Account> accountsByRun = new HashMap<>();

  /**
   * Counts a run from now on.
   *
   * @param customer name of the customer
   * @param task the task
   * @param run number of the run
   * @param demand full request of the task
   * @return whether the run was not counted before
   */
  public boolean recordPlaced(String customer, TaskId task, int run, ResourceTotals demand) {
    RunId id = new RunId(task, run);
    if (accountsByRun.containsKey(id)) {
      return false;
    }
    Account account = accounts.computeIfAbsent(customer, Account::new);
    account.runs.put(id, demand);
    account.used = account.used.plus(demand);
    accountsByRun.put(id, account);
    return true;
  }

  /**
   * Ends the counting of a run that is certainly on no worker.
   *
   * @param task the task
   * @param run number of the run
   * @return whether the run was counted until now
   */
  public boolean recordReleased(TaskId task, int run) {
    RunId id = new RunId(task, run);
    Account account = accountsByRun.remove(id);
    if (account == null) {
      return false;
    }
    ResourceTotals demand = account.runs.remove(id);
    account.used = account.used.minus(demand == null ? ResourceTotals.NONE : demand);
    if (account.runs.isEmpty()) {
      accounts.remove(account.customer);
    }
    return true;
  }

  /**
   * Returns how many tasks of a customer may start, each by itself.
   *
   * <p>The use stays within the limit, except for one task that doesn't fit beside what runs: it
   * may start while the use of each resource that it exceeds is below half of the limit, as it
   * might wait for tasks that never end otherwise. A customer whose use is above its limit in any
   * resource, for example after the limit was lowered, may start none.
   *
   * @param policy policy that applies to the customer now
   * @param demand full request of one task
   * @param wanted number of tasks that are to start
   * @return a number from 0 to {@code wanted}
   */
  public int permittedStarts(CustomerPolicy policy, ResourceTotals demand, int wanted) {
    ResourceTotals used = used(policy.name());
    long fitting = wanted;
    fitting = limit(fitting, policy.limit().cpuMillis(), used.cpuMillis(), demand.cpuMillis());
    fitting = limit(fitting, policy.limit().memoryMb(), used.memoryMb(), demand.memoryMb());
    fitting =
        limit(fitting, policy.limit().accelerators(), used.accelerators(), demand.accelerators());
    return fitting == 0 && wanted > 0 && permitsTogether(policy, demand, 1) ? 1 : (int) fitting;
  }

  /**
   * Returns whether tasks of a customer may start together, as the members of a gang do.
   *
   * <p>Like a task by itself, the last of them may exceed the limit while the use is below half of
   * it.
   *
   * @param policy policy that applies to the customer now
   * @param demand full request of one task
   * @param count number of tasks that start together, at least 1
   */
  public boolean permitsTogether(CustomerPolicy policy, ResourceTotals demand, int count) {
    ResourceTotals used = used(policy.name());
    return permits(count, policy.limit().cpuMillis(), used.cpuMillis(), demand.cpuMillis())
        && permits(count, policy.limit().memoryMb(), used.memoryMb(), demand.memoryMb())
        && permits(
            count, policy.limit().accelerators(), used.accelerators(), demand.accelerators());
  }

  private static boolean permits(int count, long limit, long used, long demand) {
    boolean fits = used + count * demand <= limit;
    boolean exceedsWithLast = 2 * used < limit && used + (count - 1) * demand <= limit;
    return limit == 0 || fits || exceedsWithLast;
  }

  private static long limit(long wanted, long limit, long used, long demand) {
    if (limit == 0) {
      return wanted;
    }
    if (used > limit) {
      return 0;
    }
    return demand == 0 ? wanted : Math.min(wanted, (limit - used) / demand);
  }

  /** Returns the sum of the full requests of a customer's tasks that may be running. */
  public ResourceTotals used(String customer) {
    Account account = accounts.get(customer);
    return account == null ? ResourceTotals.NONE : account.used;
  }

  /** Returns whether no customer has tasks that may be running. */
  public boolean isEmpty() {
    return accounts.isEmpty();
  }

  /** Returns the names of the customers with tasks that may be running. */
  public Set<String> customers() {
    return new HashSet<>(accounts.keySet());
  }
}
