package org.hickorymoor.protocol.json;

import java.util.List;

/** Thrown when a record exceeds the size limit; such a record is not parsed. */
public final class RecordTooLargeException extends InvalidRecordException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception for a record of the given size.
   *
   * @param limitBytes maximum size of a record
   * @param sizeBytes size of the record
   */
  public RecordTooLargeException(int limitBytes, int sizeBytes) {
    super(
        List.of(
            new Problem(
                Problem.ROOT_PATH, "at most " + limitBytes + " bytes", sizeBytes + " bytes")));
  }
}
