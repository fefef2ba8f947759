package org.hickorymoor.domain.lease;

import java.util.Arrays;
import java.util.Collection;

/**
 * Computes authority over a failure domain, which belongs to the host that holds the ownership
 * leases of a majority of its workers.
 *
 * <p>Any two majorities share a worker, and a worker has one holder at a time, so at most one host
 * has authority at any time.
 */
public final class DomainAuthority {

  private DomainAuthority() {}

  /**
   * Returns the time until which a host has authority over its domain.
   *
   * @param authorityUntilMs for each held worker, the time until which it is certainly held
   * @param workerCount number of workers of the domain, held or not
   * @return the time until which a majority is certainly held; {@link Long#MIN_VALUE} if too few
   *     workers are held
   */
  public static long untilMs(Collection<Long> authorityUntilMs, int workerCount) {
    int needed = workerCount / 2 + 1;
    if (authorityUntilMs.size() < needed) {
      return Long.MIN_VALUE;
    }
    long[] sorted = authorityUntilMs.stream().mapToLong(Long::longValue).toArray();
    Arrays.sort(sorted);
    return sorted[sorted.length - needed];
  }
}
