package org.hickorymoor.daemon.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Requests approvals to run a step on given workers. The approval service processes one call of a
 * host at a time.
 *
 * <p>Futures fail only with {@link PlatformException}.
 */
public interface ApprovalPort {

  /**
   * Approval to run a step on a worker.
   *
   * @param workerId ID of the worker
   * @param ticket token that the worker accepts as proof of the approval
   */
  record Approval(String workerId, String ticket) {}

  /**
   * Requests approvals for a step.
   *
   * @param step name of the step
   * @param workerIds candidate workers, at most 100
   * @param timeoutMs timeout of the whole call
   * @return the approvals; workers that may not run the step are left out
   */
  CompletableFuture<List<Approval>> requestApprovals(
      String step, List<String> workerIds, long timeoutMs);
}
