package org.hickorymoor.daemon.stream;

/**
 * Position of an entry in a stream.
 *
 * @param offset offset of the record that contains the entry
 * @param index index within the record, from 0
 */
public record EntryPosition(long offset, int index) {}
