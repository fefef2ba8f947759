package org.hickorymoor.daemon.peer;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * Limits retries to a share of calls, so that they don't amplify an overload.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.1, 10); // one retry per ten calls, burst of ten
 * budget.recordCall();
 * if (failed && budget.tryRetry()) {
 *   callAgain();
 * }
 * }</pre>
 *
 * <p>The budget starts full. Safe for use by several threads.
 */
public final class RetryBudget {

  private final double retryShare;
  private final double maxTokens;

  @GuardedBy("this")
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param retryShare retries allowed per call, from 0 to 1
   * @param maxSavedRetries maximum number of unused retries that are kept
   */
  public RetryBudget(double retryShare, int maxSavedRetries) {
    checkArgument(
        retryShare >= 0 && retryShare <= 1, "retryShare must be from 0 to 1, got %s", retryShare);
    checkArgument(
        maxSavedRetries >= 0, "maxSavedRetries must not be negative, got %s", maxSavedRetries);
    this.retryShare = retryShare;
    this.maxTokens = maxSavedRetries;
    this.tokens = maxSavedRetries;
  }

  /** Records a first attempt, which adds {@code retryShare} of a retry to the budget. */
  public synchronized void recordCall() {
    tokens = Math.min(maxTokens, tokens + retryShare);
  }

  /**
   * Takes one retry from the budget.
   *
   * @return false if the budget is exhausted, in which case the caller must not retry
   */
  public synchronized boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
