package org.hickorymoor.protocol.platform;

/**
 * Request to append a record to a log stream.
 *
 * @param data the record
 */
public record AppendCommand(String data) {}
