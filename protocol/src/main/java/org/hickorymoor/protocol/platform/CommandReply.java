package org.hickorymoor.protocol.platform;

import org.jspecify.annotations.Nullable;

/**
 * Response of a worker to a start, stop, throttle or checkpoint command.
 *
 * @param nowMs worker clock when the response was sent
 * @param incarnation identifies the run of the worker process; changes with every restart
 * @param outcome outcome of the command
 * @param checkpoint token to resume the task from, or null
 */
public record CommandReply(
    long nowMs, String incarnation, CommandOutcome outcome, @Nullable String checkpoint) {}
