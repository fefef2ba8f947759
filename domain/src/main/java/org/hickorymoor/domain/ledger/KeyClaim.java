package org.hickorymoor.domain.ledger;

import static java.util.Objects.requireNonNull;

import org.hickorymoor.domain.job.RequestKey;

/**
 * A failure domain's claim on the key of a job that must run at most once.
 *
 * @param request the key
 * @param domain failure domain that claims the key
 * @param jobId id of the job for which the key is claimed
 * @param atMs wall-clock time of the claim, in ms since 1970
 */
public record KeyClaim(RequestKey request, String domain, String jobId, long atMs) {

  /** Checks that no component is null. */
  public KeyClaim {
    requireNonNull(request, "request");
    requireNonNull(domain, "domain");
    requireNonNull(jobId, "jobId");
  }
}
