package org.hickorymoor.daemon.stream;

import com.google.gson.JsonElement;
import java.util.List;

/**
 * Entries that were appended as one record.
 *
 * @param id the batch
 * @param entries the entries in order
 */
public record Batch(BatchId id, List<JsonElement> entries) {
  /** Copies the list. */
  public Batch {
    entries = List.copyOf(entries);
  }
}
