package org.hickorymoor.protocol.platform;

/**
 * Response of the log service to an append.
 *
 * @param offset offset of the appended record in its stream
 */
public record AppendReply(long offset) {}
