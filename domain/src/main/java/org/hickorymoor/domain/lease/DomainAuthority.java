package org.hickorymoor.domain.lease;

import java.util.Arrays;
import java.util.Collection;

/**
 * Works out who decides for a failure domain: the host that holds more than half of its workers.
 *
 * <p>Any two sets of more than half share a worker, and a worker has one holder at a time, so no
 * two hosts have authority at the same time.
 */
public final class DomainAuthority {

  private DomainAuthority() {}

  /**
   * Returns the time until which a host has authority over its domain.
   *
   * @param authorityUntilMs for each held worker, the time until which it is certainly held
   * @param workerCount number of workers of the domain, held or not
   * @return the latest time at which more than half are still held; {@link Long#MIN_VALUE} if too
   *     few are
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
