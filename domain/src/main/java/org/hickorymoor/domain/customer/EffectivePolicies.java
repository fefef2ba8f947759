package org.hickorymoor.domain.customer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The policy that applies to each customer now.
 *
 * <p>This is the policy of the newest configuration. For a customer that this doesn't name any more
 * it is the last one known, and for one that was never named the one stored with the job. Not
 * thread-safe.
 */
public final class EffectivePolicies {

  private final Map<String, CustomerPolicy> lastKnown = new HashMap<>();
  private @Nullable CustomerDirectory newest;

  /**
   * Applies a version of the configuration.
   *
   * @param directory the newest version, or null if there is none yet
   * @return whether the policies may have changed
   */
  public boolean update(@Nullable CustomerDirectory directory) {
    CustomerDirectory current = newest;
    if (directory == null || (current != null && directory.version() <= current.version())) {
      return false;
    }
    newest = directory;
    lastKnown.replaceAll(
        (name, known) -> {
          CustomerPolicy found = directory.find(name);
          return found == null ? known : found;
        });
    return true;
  }

  /** Returns whether there has been a configuration. */
  public boolean isConfigured() {
    return newest != null;
  }

  /** Returns the version of the newest configuration; 0 before the first one. */
  public long version() {
    CustomerDirectory current = newest;
    return current == null ? 0 : current.version();
  }

  /**
   * Returns the policy that applies to the customer of a job.
   *
   * @param stored the policy stored with the job
   */
  public CustomerPolicy of(CustomerPolicy stored) {
    CustomerPolicy known = find(stored.name());
    return known == null ? stored : known;
  }

  /** Returns the newest known policy of a customer, or null if it was never named. */
  public @Nullable CustomerPolicy find(String customer) {
    CustomerDirectory current = newest;
    CustomerPolicy found = current == null ? null : current.find(customer);
    if (found == null) {
      return lastKnown.get(customer);
    }
    lastKnown.put(customer, found);
    return found;
  }

  /** Forgets the last known policies of customers that are no longer needed. */
  public void retain(Predicate<String> needed) {
    lastKnown.keySet().removeIf(customer -> !needed.test(customer));
  }
}
