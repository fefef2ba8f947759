package org.hickorymoor.daemon.stream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies a batch. All copies of a batch in the log have the same id.
 *
 * @param incarnation id of the appending process, unique per start; must not contain a colon
 * @param sequence number of the batch within the incarnation and stream, from 0
 */
public record BatchId(String incarnation, long sequence) {

  /** Checks the parts. */
  public BatchId {
    checkArgument(
        !incarnation.isEmpty() && incarnation.indexOf(':') < 0,
        "incarnation must be a non-empty text without ':', got %s",
        incarnation);
    checkArgument(sequence >= 0, "sequence must not be negative, got %s", sequence);
  }

  /**
   * Parses the text form.
   *
   * @param text {@code incarnation:sequence}
   * @return the id
   * @throws IllegalArgumentException if the text is not of that form
   */
  public static BatchId parse(String text) {
    int colon = text.indexOf(':');
    checkArgument(colon > 0, "expected incarnation:sequence, got %s", text);
    return new BatchId(text.substring(0, colon), Long.parseLong(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return incarnation + ":" + sequence;
  }
}
