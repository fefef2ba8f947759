package org.hickorymoor.protocol.platform;

/**
 * A record of a log stream.
 *
 * @param offset offset in the stream
 * @param data the record
 */
public record LogRecord(long offset, String data) {}
