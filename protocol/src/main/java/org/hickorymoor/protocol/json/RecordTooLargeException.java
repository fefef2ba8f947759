package org.hickorymoor.protocol.json;

import java.util.List;

/** Thrown when a record is refused unread because it has too many bytes. */
public final class RecordTooLargeException extends InvalidRecordException {

  private static final long serialVersionUID = 1L;

  /**
   * Refuses a record.
   *
   * @param limitBytes largest size that is read
   * @param sizeBytes size of the record
   */
  public RecordTooLargeException(int limitBytes, int sizeBytes) {
    super(
        List.of(
            new Problem(
                Problem.ROOT_PATH, "at most " + limitBytes + " bytes", sizeBytes + " bytes")));
  }
}
