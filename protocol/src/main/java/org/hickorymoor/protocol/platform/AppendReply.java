package org.hickorymoor.protocol.platform;

/**
 * The log's answer to an append.
 *
 * @param offset offset of the record in its stream
 */
public record AppendReply(long offset) {}
