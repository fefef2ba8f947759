package org.hickorymoor.daemon.port;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.protocol.platform.CommandReply;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.hickorymoor.protocol.platform.WorkerInfo;

/**
 * Sends commands to workers.
 *
 * <p>Futures fail only with {@link PlatformException}, and complete within the timeout of the call.
 * Thread-safe.
 */
public interface WorkerPort {

  /**
   * Returns a worker's identity, location and capacity.
   *
   * @param address ip:port of the worker
   * @param timeoutMs timeout of the whole call
   * @return the response
   */
  CompletableFuture<WorkerInfo> info(String address, long timeoutMs);

  /**
   * Starts a task.
   *
   * @param address ip:port of the worker
   * @param command the task to start
   * @param timeoutMs timeout of the whole call
   * @return the response
   */
  CompletableFuture<CommandReply> start(String address, StartCommand command, long timeoutMs);

  /**
   * Renews leases, acknowledges results and lists the worker's tasks.
   *
   * @param address ip:port of the worker
   * @param command the renewals and acknowledgements
   * @param timeoutMs timeout of the whole call, including the wait
   * @return the response
   */
  CompletableFuture<SyncReply> sync(String address, SyncCommand command, long timeoutMs);

  /**
   * Stops a task; the response confirms that it has stopped.
   *
   * @param address ip:port of the worker
   * @param command the task
   * @param timeoutMs timeout of the whole call
   * @return the response
   */
  CompletableFuture<CommandReply> stop(String address, TaskCommand command, long timeoutMs);

  /**
   * Throttles a task.
   *
   * @param address ip:port of the worker
   * @param command the task and its speed limit
   * @param timeoutMs timeout of the whole call
   * @return the response
   */
  CompletableFuture<CommandReply> throttle(String address, TaskCommand command, long timeoutMs);

  /**
   * Checkpoints a task.
   *
   * @param address ip:port of the worker
   * @param command the task
   * @param timeoutMs timeout of the whole call
   * @return the response, with the checkpoint token to resume from
   */
  CompletableFuture<CommandReply> checkpoint(String address, TaskCommand command, long timeoutMs);
}
