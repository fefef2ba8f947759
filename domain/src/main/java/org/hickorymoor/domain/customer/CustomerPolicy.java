package org.hickorymoor.domain.customer;

import org.hickorymoor.domain.Resources;

/**
 * Share and limit of a customer, as configured by the operators.
 *
 * @param name name of the customer
 * @param weight share relative to other customers while the workers are full, above 0; also the
 *     number of jobs a second that the customer is entitled to submit
 * @param limit maximum resources that the customer's tasks may use at a time over all workers; 0 of
 *     a resource means no limit; slots and connections are not limited
 */
public record CustomerPolicy(String name, double weight, Resources limit) {

  /** Validates the ranges. */
  public CustomerPolicy {
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight: expected a number above 0, got " + weight);
    }
    if (limit.cpuMillis() < 0 || limit.memoryMb() < 0 || limit.accelerators() < 0) {
      throw new IllegalArgumentException("limit: expected no negative amount, got " + limit);
    }
  }
}
