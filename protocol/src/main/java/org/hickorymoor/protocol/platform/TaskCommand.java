package org.hickorymoor.protocol.platform;

/**
 * Command for a running task: stop, throttle or checkpoint.
 *
 * @param taskId id of the task
 * @param percent percentage of full speed for throttle; ignored otherwise
 * @param notAfterMs worker clock after which the command has no effect; 0 for no deadline
 */
public record TaskCommand(String taskId, int percent, long notAfterMs) {}
