package org.hickorymoor.protocol.platform;

/**
 * A command about one running task: stop, throttle or checkpoint.
 *
 * @param taskId name of the task
 * @param percent share of full speed for throttle; ignored otherwise
 * @param notAfterMs worker time after which the command has no effect; 0 for no limit
 */
public record TaskCommand(String taskId, int percent, long notAfterMs) {}
