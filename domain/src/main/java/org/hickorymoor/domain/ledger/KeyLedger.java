package org.hickorymoor.domain.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.hickorymoor.domain.job.RequestKey;

/**
 * The holder of each claimed key: the failure domain whose claim has the lowest offset.
 *
 * <p>Hosts that apply the same entries in the same order agree on the holder. A claim made at least
 * one window after the current claim replaces it. Not thread-safe.
 */
public final class KeyLedger {

  private final LongSupplier windowMs;
  private final Map<RequestKey, KeyClaim> holders = new HashMap<>();

  /**
   * Creates an empty ledger.
   *
   * @param windowMs currently configured validity of a claim
   */
  public KeyLedger(LongSupplier windowMs) {
    this.windowMs = windowMs;
  }

  /**
   * Applies the next claim of the log.
   *
   * @param claim the claim
   */
  public void apply(KeyClaim claim) {
    KeyClaim holder = holders.get(claim.request());
    if (holder == null || claim.atMs() >= holder.atMs() + windowMs.getAsLong()) {
      holders.put(claim.request(), claim);
    }
  }

  /**
   * Finds the current claim of a key.
   *
   * @param request the key
   * @return the current claim, or empty if there is none
   */
  public Optional<KeyClaim> holder(RequestKey request) {
    return Optional.ofNullable(holders.get(request));
  }

  /**
   * Returns the current claims of a failure domain made at or before a time.
   *
   * @param domain the failure domain
   * @param atMs wall-clock time in ms since 1970
   * @return the claims
   */
  public List<KeyClaim> claimsOf(String domain, long atMs) {
    return holders.values().stream()
        .filter(claim -> claim.domain().equals(domain) && claim.atMs() <= atMs)
        .toList();
  }

  /**
   * Returns the jobs of a failure domain that hold a key.
   *
   * @param domain the failure domain
   * @return ids of the jobs
   */
  public Set<String> claimingJobs(String domain) {
    return holders.values().stream()
        .filter(claim -> claim.domain().equals(domain))
        .map(KeyClaim::jobId)
        .collect(Collectors.toSet());
  }

  /**
   * Removes claims whose window has passed.
   *
   * @param nowMs current wall-clock time in ms since 1970
   */
  public void removeExpired(long nowMs) {
    holders.values().removeIf(claim -> nowMs >= claim.atMs() + windowMs.getAsLong());
  }

  /**
   * Returns the number of claims, including expired ones not yet removed.
   *
   * @return the number
   */
  public int size() {
    return holders.size();
  }
}
