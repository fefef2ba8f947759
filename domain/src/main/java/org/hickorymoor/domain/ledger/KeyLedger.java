package org.hickorymoor.domain.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.hickorymoor.domain.job.RequestKey;

/**
 * Which failure domain holds each claimed key: the first to claim it in offset order.
 *
 * <p>Every host that applies the same entries in the same order finds the same holder. A claim that
 * is a whole window later than the one before it starts the key anew. Not thread-safe.
 */
public final class KeyLedger {

  private final LongSupplier windowMs;
  private final Map<RequestKey, KeyClaim> holders = new HashMap<>();

  /**
   * Makes a ledger without claims.
   *
   * @param windowMs time for which a claim lasts, as configured now
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
   * Finds who holds a key.
   *
   * @param request the key
   * @return the claim in force, or empty if there is none
   */
  public Optional<KeyClaim> holder(RequestKey request) {
    return Optional.ofNullable(holders.get(request));
  }

  /**
   * Lists the claims of one failure domain that were made at or before a time.
   *
   * @param domain the failure domain
   * @param atMs wall-clock time
   * @return the claims in force
   */
  public List<KeyClaim> claimsOf(String domain, long atMs) {
    return holders.values().stream()
        .filter(claim -> claim.domain().equals(domain) && claim.atMs() <= atMs)
        .toList();
  }

  /**
   * Drops claims whose window has passed.
   *
   * @param nowMs wall-clock time now
   */
  public void forget(long nowMs) {
    holders.values().removeIf(claim -> nowMs >= claim.atMs() + windowMs.getAsLong());
  }

  /**
   * Returns the number of claims in force.
   *
   * @return the number
   */
  public int size() {
    return holders.size();
  }
}
