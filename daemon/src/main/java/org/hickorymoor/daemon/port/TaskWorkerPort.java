package org.hickorymoor.daemon.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.jspecify.annotations.Nullable;

/**
 * Sends commands to workers, which check a fencing token.
 *
 * <p>Futures fail only with {@link PlatformException}, and complete within the timeout of the call.
 * A command without a response may still be executed, even later. Thread-safe.
 */
public interface TaskWorkerPort {

  /**
   * Request to start a run.
   *
   * @param task ID of the task
   * @param run number of the run
   * @param payload data that the caller submitted with the job
   * @param checkpoint checkpoint to resume from; empty to start from the beginning
   * @param ticket approval to run on the worker, or null if none is needed
   */
  record StartRequest(
      String task, int run, String payload, String checkpoint, @Nullable String ticket) {}

  /** A worker's response to a command. */
  enum Outcome {
    /** Executed now or by an earlier call. */
    ACCEPTED,
    /** A coordinator with a higher fencing token has called before. */
    FENCED,
    /** This or a later run of the task has been stopped or has ended on the worker. */
    STALE_RUN,
    /** The lease in the command had already expired. */
    LATE,
    /** The worker has too little free capacity. */
    NO_ROOM,
    /** The approval is missing or has expired. */
    BAD_TICKET,
    /** The worker is unhealthy; the command had no effect. */
    UNAVAILABLE,
    /** Another worker answers at the address: the intended one has ended. */
    REPLACED,
    /** The worker could not parse the command. */
    MALFORMED
  }

  /**
   * Response to a command.
   *
   * @param outcome outcome of the command
   * @param clockMs the worker's clock; -1 if unknown
   */
  record WorkerReply(Outcome outcome, long clockMs) {}

  /**
   * A run that is active on a worker.
   *
   * @param task ID of the task
   * @param run number of the run
   * @param checkpoint latest checkpoint; empty if there is none
   * @param percent current speed as a percentage of full speed
   * @param load tail latency in milliseconds if the task serves requests, otherwise CPU usage in
   *     thousandths of a core; -1 if unknown
   */
  record ActiveRun(String task, int run, String checkpoint, int percent, long load) {}

  /**
   * A run that has ended.
   *
   * @param sequence number that increases with each ended run until the worker restarts
   * @param task ID of the task
   * @param run number of the run
   * @param reason why the run ended
   * @param checkpoint checkpoint at the end of the run; empty if there is none
   */
  record EndedRun(
      long sequence, String task, int run, TerminationReason reason, String checkpoint) {}

  /**
   * Active and ended runs of a worker.
   *
   * @param outcome {@link Outcome#ACCEPTED}, or the reason why the lists are empty
   * @param clockMs the worker's clock
   * @param startedAtMs when the worker last started; -1 if unknown
   * @param running active runs
   * @param ended ended runs that have not been acknowledged, in order
   * @param complete whether all such ended runs are listed
   */
  record Report(
      Outcome outcome,
      long clockMs,
      long startedAtMs,
      List<ActiveRun> running,
      List<EndedRun> ended,
      boolean complete) {}

  /**
   * Starts a run.
   *
   * @param worker the worker
   * @param request the run to start
   * @param leaseEndMs end of the lease of all runs on the worker, on the worker's clock
   * @param fencingToken fencing token
   * @param timeoutMs timeout of the whole call
   * @return the worker's response
   */
  CompletableFuture<WorkerReply> start(
      WorkerDescriptor worker,
      StartRequest request,
      long leaseEndMs,
      long fencingToken,
      long timeoutMs);

  /**
   * Stops a run. If the run has not been started yet, the worker will reject its start.
   *
   * @param worker the worker
   * @param task ID of the task
   * @param run number of the run
   * @param fencingToken fencing token
   * @param timeoutMs timeout of the whole call
   * @return the worker's response
   */
  CompletableFuture<WorkerReply> stop(
      WorkerDescriptor worker, String task, int run, long fencingToken, long timeoutMs);

  /**
   * Limits the speed of a run.
   *
   * @param worker the worker
   * @param task ID of the task
   * @param run number of the run
   * @param percent speed as a percentage of full speed, 0 to 100
   * @param fencingToken fencing token
   * @param timeoutMs timeout of the whole call
   * @return the worker's response
   */
  CompletableFuture<WorkerReply> throttle(
      WorkerDescriptor worker,
      String task,
      int run,
      int percent,
      long fencingToken,
      long timeoutMs);

  /**
   * Renews the lease of all runs on a worker and reads their state.
   *
   * @param worker the worker
   * @param leaseEndMs end of the lease on the worker's clock; 0 to leave it unchanged
   * @param acknowledgedUpTo sequence number up to which the worker may forget ended runs
   * @param fencingToken fencing token
   * @param waitMs maximum time to delay the response until a run ends
   * @param timeoutMs timeout of the whole call, including the wait
   * @return the state of the runs
   */
  CompletableFuture<Report> renewLease(
      WorkerDescriptor worker,
      long leaseEndMs,
      long acknowledgedUpTo,
      long fencingToken,
      long waitMs,
      long timeoutMs);
}
