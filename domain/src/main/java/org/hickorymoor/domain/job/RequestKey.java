package org.hickorymoor.domain.job;

import static java.util.Objects.requireNonNull;

/**
 * The name under which a caller may repeat a request and still mean the same one.
 *
 * @param team team of the caller
 * @param key the caller's own name of the request, unique within the team
 */
public record RequestKey(String team, String key) {

  /** Rejects absent parts. */
  public RequestKey {
    requireNonNull(team, "team");
    requireNonNull(key, "key");
  }

  @Override
  public String toString() {
    return team + "/" + key;
  }
}
