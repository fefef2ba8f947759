package org.hickorymoor.daemon.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Asks which workers a step may run on. The service works on one call of a host at a time.
 *
 * <p>Every future fails with a {@link PlatformException} and with nothing else.
 */
public interface AdvicePort {

  /**
   * An approval.
   *
   * @param workerId worker that may run the step
   * @param ticket what proves it to the worker
   */
  record Approval(String workerId, String ticket) {}

  /**
   * Asks about a step.
   *
   * @param step name of the step
   * @param workerIds workers to decide about, at most 100
   * @param timeoutMs time for the whole call
   * @return approvals of those that may run it
   */
  CompletableFuture<List<Approval>> advise(String step, List<String> workerIds, long timeoutMs);
}
