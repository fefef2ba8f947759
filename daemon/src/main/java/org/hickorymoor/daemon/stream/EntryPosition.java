package org.hickorymoor.daemon.stream;

/**
 * Where an entry stands in a stream.
 *
 * @param offset offset of its record
 * @param index place within the record, from 0
 */
public record EntryPosition(long offset, int index) {}
