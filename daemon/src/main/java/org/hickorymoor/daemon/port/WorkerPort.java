package org.hickorymoor.daemon.port;

import java.util.concurrent.CompletableFuture;
import org.hickorymoor.protocol.platform.CommandReply;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.hickorymoor.protocol.platform.WorkerInfo;

/**
 * Talks to workers.
 *
 * <p>Every future fails with a {@link PlatformException} and with nothing else, within the timeout
 * of the call. Safe for use by several threads.
 */
public interface WorkerPort {

  /**
   * Asks a worker about itself.
   *
   * @param address ip:port of the worker
   * @param timeoutMs time for the whole call
   * @return the answer
   */
  CompletableFuture<WorkerInfo> info(String address, long timeoutMs);

  /**
   * Starts a task.
   *
   * @param address ip:port of the worker
   * @param command the start
   * @param timeoutMs time for the whole call
   * @return the answer
   */
  CompletableFuture<CommandReply> start(String address, StartCommand command, long timeoutMs);

  /**
   * Renews leases, acknowledges results and lists.
   *
   * @param address ip:port of the worker
   * @param command the renewals and acknowledgements
   * @param timeoutMs time for the whole call, the wait included
   * @return the answer
   */
  CompletableFuture<SyncReply> sync(String address, SyncCommand command, long timeoutMs);

  /**
   * Stops a task; the stop is confirmed by the answer.
   *
   * @param address ip:port of the worker
   * @param command the task
   * @param timeoutMs time for the whole call
   * @return the answer
   */
  CompletableFuture<CommandReply> stop(String address, TaskCommand command, long timeoutMs);

  /**
   * Throttles a task.
   *
   * @param address ip:port of the worker
   * @param command the task and the share of full speed
   * @param timeoutMs time for the whole call
   * @return the answer
   */
  CompletableFuture<CommandReply> throttle(String address, TaskCommand command, long timeoutMs);

  /**
   * Checkpoints a task.
   *
   * @param address ip:port of the worker
   * @param command the task
   * @param timeoutMs time for the whole call
   * @return the answer, with the token to resume from
   */
  CompletableFuture<CommandReply> checkpoint(String address, TaskCommand command, long timeoutMs);
}
