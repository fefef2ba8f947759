package org.hickorymoor.protocol.platform;

/**
 * Appends one record to a stream of the log.
 *
 * @param data the record
 */
public record AppendCommand(String data) {}
