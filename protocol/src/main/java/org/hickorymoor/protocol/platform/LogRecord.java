package org.hickorymoor.protocol.platform;

/**
 * One record of a stream.
 *
 * @param offset offset in the stream
 * @param data the record
 */
public record LogRecord(long offset, String data) {}
