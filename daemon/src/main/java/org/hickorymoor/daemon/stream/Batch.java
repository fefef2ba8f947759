package org.hickorymoor.daemon.stream;

import com.google.gson.JsonElement;
import java.util.List;

/**
 * Entries that were appended as one record.
 *
 * @param id id of the batch
 * @param entries the entries in order
 */
public record Batch(BatchId id, List<JsonElement> entries) {
  /** Makes a defensive copy of the list. */
  public Batch {
    entries = List.copyOf(entries);
  }
}
