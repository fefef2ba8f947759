package org.hickorymoor.daemon.peer;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * Keeps retries to a stated share of calls, so that they don't multiply an overload.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.1, 10); // one retry in ten calls, ten saved up at most
 * budget.recordCall();
 * if (failed && budget.tryRetry()) {
 *   callAgain();
 * }
 * }</pre>
 *
 * <p>Starts full. Safe for use by several threads.
 */
public final class RetryBudget {

  private final double retryShare;
  private final double maxTokens;

  @GuardedBy("this")
  private double tokens;

  /**
   * Makes a full budget.
   *
   * @param retryShare retries allowed per call, from 0 to 1
   * @param maxSavedRetries most retries that can be saved up
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

  /** Counts a first attempt, which earns a share of a retry. */
  public synchronized void recordCall() {
    tokens = Math.min(maxTokens, tokens + retryShare);
  }

  /**
   * Takes one retry out of the budget.
   *
   * @return false if the budget is used up and the failure must be passed on
   */
  public synchronized boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
