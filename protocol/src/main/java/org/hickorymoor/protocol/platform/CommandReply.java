package org.hickorymoor.protocol.platform;

import org.jspecify.annotations.Nullable;

/**
 * A worker's answer to a start, stop, throttle or checkpoint.
 *
 * @param nowMs worker time of the answer
 * @param incarnation changes with every restart of the worker
 * @param outcome what became of the command
 * @param checkpoint token to resume from, or null
 */
public record CommandReply(
    long nowMs, String incarnation, CommandOutcome outcome, @Nullable String checkpoint) {}
