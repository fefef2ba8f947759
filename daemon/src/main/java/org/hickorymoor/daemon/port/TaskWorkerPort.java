package org.hickorymoor.daemon.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.jspecify.annotations.Nullable;

/**
 * Gives orders to workers that check a fencing token.
 *
 * <p>Every future fails with a {@link PlatformException} and with nothing else, within the timeout
 * of the call. An order without an answer may be carried out, also later. Safe for use by several
 * threads.
 */
public interface TaskWorkerPort {

  /**
   * A run to start.
   *
   * @param task name of the task
   * @param run number of the run
   * @param payload what the caller handed in
   * @param checkpoint where to resume; empty for the beginning
   * @param ticket approval to run there, or null if none is needed
   */
  record StartOrder(
      String task, int run, String payload, String checkpoint, @Nullable String ticket) {}

  /** What a worker answers to an order. */
  enum Outcome {
    /** Carried out, now or before. */
    ACCEPTED,
    /** A coordinator with a higher token has called. */
    FENCED,
    /** This or a later run has been stopped or has ended there. */
    STALE_RUN,
    /** The lease in the order had ended. */
    LATE,
    /** The worker is full. */
    NO_ROOM,
    /** The approval is missing or has expired. */
    BAD_TICKET,
    /** The worker is unhealthy or another one than intended; it has done nothing. */
    UNAVAILABLE,
    /** The worker can't read the order. */
    MALFORMED
  }

  /**
   * An answered order.
   *
   * @param outcome what became of it
   * @param clockMs the worker's clock; -1 if it was not told
   */
  record OrderReply(Outcome outcome, long clockMs) {}

  /**
   * A run at work.
   *
   * @param task name of the task
   * @param run number of the run
   * @param checkpoint newest checkpoint; empty for none
   * @param percent share of full speed; 100 when the task is at work
   * @param load tail of the response times in milliseconds for a task that serves users, else the
   *     processor use in thousandths of a core; -1 if not told
   */
  record Running(String task, int run, String checkpoint, int percent, long load) {}

  /**
   * A run that ended.
   *
   * @param number rises with each end within one life of the worker
   * @param task name of the task
   * @param run number of the run
   * @param how how it ended
   * @param checkpoint checkpoint at its end; empty for none
   */
  record Ended(long number, String task, int run, TerminationReason how, String checkpoint) {}

  /**
   * What runs on a worker and what has ended there.
   *
   * @param outcome {@link Outcome#ACCEPTED}, or why there are no lists
   * @param clockMs the worker's clock
   * @param bornMs start of the worker's present life; -1 if it was not told
   * @param running runs at work
   * @param ended ends that were not acknowledged, in order
   * @param complete whether every such end is listed
   */
  record Report(
      Outcome outcome,
      long clockMs,
      long bornMs,
      List<Running> running,
      List<Ended> ended,
      boolean complete) {}

  /**
   * Starts a run.
   *
   * @param worker where
   * @param order what
   * @param untilMs end of the lease of everything there, on the worker's clock
   * @param fence fencing token
   * @param timeoutMs time for the whole call
   * @return what the worker answered
   */
  CompletableFuture<OrderReply> start(
      WorkerDescriptor worker, StartOrder order, long untilMs, long fence, long timeoutMs);

  /**
   * Stops a run; a run that is not there yet is rejected when it comes.
   *
   * @param worker where
   * @param task name of the task
   * @param run number of the run
   * @param fence fencing token
   * @param timeoutMs time for the whole call
   * @return what the worker answered
   */
  CompletableFuture<OrderReply> stop(
      WorkerDescriptor worker, String task, int run, long fence, long timeoutMs);

  /**
   * Sets the speed of a run.
   *
   * @param worker where
   * @param task name of the task
   * @param run number of the run
   * @param percent share of full speed, 0 to 100
   * @param fence fencing token
   * @param timeoutMs time for the whole call
   * @return what the worker answered
   */
  CompletableFuture<OrderReply> pace(
      WorkerDescriptor worker, String task, int run, int percent, long fence, long timeoutMs);

  /**
   * Renews the lease of everything on a worker and looks at it.
   *
   * @param worker where
   * @param untilMs end of the lease on the worker's clock; 0 to leave it
   * @param seenUpTo number of the last end that the worker may forget
   * @param fence fencing token
   * @param waitMs longest time to hold the answer back until a run ends
   * @param timeoutMs time for the whole call, the wait included
   * @return what is there
   */
  CompletableFuture<Report> hold(
      WorkerDescriptor worker,
      long untilMs,
      long seenUpTo,
      long fence,
      long waitMs,
      long timeoutMs);
}
