package org.hickorymoor.domain.customer;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The customers of one version of the configuration.
 *
 * @param version version of the configuration
 * @param policies policies by name of the customer
 */
public record CustomerDirectory(long version, Map<String, CustomerPolicy> policies) {

  /** A configuration without customers. */
  public static final CustomerDirectory EMPTY = new CustomerDirectory(0, Map.of());

  /** Makes a defensive copy of the map. */
  public CustomerDirectory {
    policies = Map.copyOf(policies);
  }

  /** Returns the policy of a customer, or null if this version doesn't have the customer. */
  public @Nullable CustomerPolicy find(String customer) {
    return policies.get(customer);
  }
}
