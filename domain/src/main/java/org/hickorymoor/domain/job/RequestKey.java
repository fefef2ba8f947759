package org.hickorymoor.domain.job;

import static java.util.Objects.requireNonNull;

/**
 * Idempotency key of a request: requests with an equal key are the same request.
 *
 * @param team team of the caller
 * @param key key chosen by the caller, unique within the team
 */
public record RequestKey(String team, String key) {

  /** Checks that no component is null. */
  public RequestKey {
    requireNonNull(team, "team");
    requireNonNull(key, "key");
  }

  @Override
  public String toString() {
    return team + "/" + key;
  }
}
