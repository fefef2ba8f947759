package org.hickorymoor.domain.customer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleBiFunction;
import org.jspecify.annotations.Nullable;

/**
 * Compares the averaged dominant share of each customer with the share that its weight entitles it
 * to, by service.
 *
 * <p>The dominant share is the largest of a customer's shares of processors, memory and
 * accelerators of the workers of a service. A customer is entitled to its weight in proportion to
 * the weights of all customers that have tasks placed, or steps ready to start, in the service.
 *
 * <p>A pass costs time in proportion to the customers that have work; a query within a pass takes
 * constant time. Not thread-safe.
 */
public final class DominantShares {

  /** An average below this has no effect on any order; its account can be removed. */
  private static final double NEGLIGIBLE_SHARE = 1e-4;

  /** Use of a service by a customer. */
  private static final class Account {
    private final AveragedShare share;
    private ResourceTotals used = ResourceTotals.NONE;
    private int runs;
    private double weight;
    private long readyInPass;
    private long comparedInPass = -1;
    private boolean above;

    Account(long nowNs) {
      share = new AveragedShare(nowNs);
    }
  }

  /** The customers of a service. */
  private static final class Service {
    private final Map<String, Account> accounts = new HashMap<>();
    private ResourceTotals capacity = ResourceTotals.NONE;
    private boolean capacityKnown;
    private double activeWeight;
  }

  private final Map<String, Service> services = new HashMap<>();
  private long pass;

  /**
   * Adds the reservation of a task that is placed.
   *
   * @param customer the customer that the task belongs to
   * @param service service that the worker belongs to
   * @param reserved what the task reserves on its worker
   * @param nowNs current time, on a monotonic clock
   */
  public void add(CustomerPolicy customer, String service, ResourceTotals reserved, long nowNs) {
    Account account = account(customer, service, nowNs);
    account.runs++;
    setUse(service(service), account, account.used.plus(reserved), nowNs);
  }

  /** Removes the reservation of a task that was added before. */
  public void remove(CustomerPolicy customer, String service, ResourceTotals reserved, long nowNs) {
    Account account = account(customer, service, nowNs);
    account.runs--;
    setUse(service(service), account, account.used.minus(reserved), nowNs);
  }

  private static void setUse(Service service, Account account, ResourceTotals used, long nowNs) {
    account.used = used;
    account.share.set(used.dominantShareOf(service.capacity), nowNs);
  }

  /** Records that a customer has a step that could start in the service. */
  public void markReady(CustomerPolicy customer, String service, long nowNs) {
    account(customer, service, nowNs).readyInPass = pass;
  }

  private Service service(String name) {
    return services.computeIfAbsent(name, absent -> new Service());
  }

  private Account account(CustomerPolicy customer, String service, long nowNs) {
    Account account =
        service(service).accounts.computeIfAbsent(customer.name(), absent -> new Account(nowNs));
    account.weight = customer.weight();
    return account;
  }

  /**
   * Begins a pass over the steps that could start.
   *
   * <p>The averages of a service start at the shares in use when its capacity is first known, so
   * that a coordinator continues with the use that it has adopted.
   *
   * @param capacities capacity of the workers of each service
   * @param nowNs current time, on a monotonic clock
   */
  public void beginPass(Map<String, ResourceTotals> capacities, long nowNs) {
    pass++;
    services.forEach(
        (name, service) -> {
          setCapacity(service, capacities.getOrDefault(name, ResourceTotals.NONE), nowNs);
          service.activeWeight = 0;
          for (Account account : service.accounts.values()) {
            if (isActive(account, pass)) {
              service.activeWeight += account.weight;
            }
          }
        });
  }

  private static boolean isActive(Account account, long pass) {
    return account.runs > 0 || account.readyInPass >= pass - 1;
  }

  private static void setCapacity(Service service, ResourceTotals capacity, long nowNs) {
    if (capacity.equals(service.capacity)) {
      return;
    }
    final boolean isFirst = !service.capacityKnown;
    service.capacity = capacity;
    service.capacityKnown = true;
    for (Account account : service.accounts.values()) {
      double share = account.used.dominantShareOf(capacity);
      if (isFirst) {
        account.share.startAt(share, nowNs);
      } else {
        account.share.set(share, nowNs);
      }
    }
  }

  /** Applies the weights of a new version of the configuration. */
  public void updateWeights(ToDoubleBiFunction<String, Double> weightOf) {
    for (Service service : services.values()) {
      service.accounts.forEach(
          (customer, account) -> account.weight = weightOf.applyAsDouble(customer, account.weight));
    }
  }

  /**
   * Returns whether a customer's averaged dominant share of a service is above the share that it is
   * entitled to.
   */
  public boolean isAboveShare(CustomerPolicy customer, String service, long nowNs) {
    Account account = existingAccount(customer.name(), service);
    if (account == null) {
      return false;
    }
    account.weight = customer.weight();
    if (account.comparedInPass != pass) {
      account.comparedInPass = pass;
      double activeWeight = service(service).activeWeight;
      account.above =
          activeWeight > 0 && account.share.average(nowNs) > account.weight / activeWeight;
    }
    return account.above;
  }

  private @Nullable Account existingAccount(String customer, String service) {
    Service known = services.get(service);
    return known == null ? null : known.accounts.get(customer);
  }

  /**
   * Returns the share of a service that a customer is entitled to, or would be if it had work
   * there.
   */
  public double entitledShare(CustomerPolicy customer, String service) {
    Service known = services.get(service);
    if (known == null) {
      return 1;
    }
    Account account = known.accounts.get(customer.name());
    boolean isActive = account != null && isActive(account, pass);
    return customer.weight() / (known.activeWeight + (isActive ? 0 : customer.weight()));
  }

  /** Returns the averaged dominant share of a customer in a service; 0 without an account. */
  public double averageShare(String customer, String service, long nowNs) {
    Account account = existingAccount(customer, service);
    return account == null ? 0 : account.share.average(nowNs);
  }

  /** Returns the averaged dominant share of a customer, the largest over all services. */
  public double averageShare(String customer, long nowNs) {
    double largest = 0;
    for (Service service : services.values()) {
      Account account = service.accounts.get(customer);
      if (account != null) {
        largest = Math.max(largest, account.share.average(nowNs));
      }
    }
    return largest;
  }

  /** Returns whether there are no accounts. */
  public boolean isEmpty() {
    return services.isEmpty();
  }

  /** Removes the accounts of customers without work whose averages have become negligible. */
  public void removeIdle(long nowNs) {
    for (Service service : services.values()) {
      service
          .accounts
          .values()
          .removeIf(
              account ->
                  account.runs == 0
                      && account.readyInPass < pass - 1
                      && account.share.average(nowNs) < NEGLIGIBLE_SHARE);
    }
    services.values().removeIf(service -> service.accounts.isEmpty());
  }
}
