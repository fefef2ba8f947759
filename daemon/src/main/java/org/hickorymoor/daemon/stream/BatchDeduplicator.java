package org.hickorymoor.daemon.stream;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects duplicate copies of batches.
 *
 * <p>Remembers the last {@value #WINDOW_SIZE} sequence numbers of the most recently seen
 * incarnations; a batch older than that window counts as a duplicate. Not safe for use by several
 * threads.
 */
public final class BatchDeduplicator {

  /** Number of sequence numbers remembered per incarnation. */
  static final int WINDOW_SIZE = 256;

  private static final int DEFAULT_MAX_INCARNATIONS = 4096;

  private final Map<String, Window> windows;

  /** Creates an empty deduplicator. */
  public BatchDeduplicator() {
    this(DEFAULT_MAX_INCARNATIONS);
  }

  BatchDeduplicator(int maxIncarnations) {
    this.windows =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Window> eldest) {
            return size() > maxIncarnations;
          }
        };
  }

  /**
   * Records a batch.
   *
   * @param id id of the batch
   * @return true if the batch was not seen before
   */
  public boolean addIfNew(BatchId id) {
    return windows.computeIfAbsent(id.incarnation(), unused -> new Window()).add(id.sequence());
  }

  /** Ring buffer of bits for the newest sequence numbers of one incarnation. */
  private static final class Window {
    private final BitSet seen = new BitSet(WINDOW_SIZE);
    private long highest = -1;

    boolean add(long sequence) {
      if (sequence <= highest - WINDOW_SIZE) {
        return false;
      }
      advanceTo(sequence);
      int bit = (int) (sequence % WINDOW_SIZE);
      boolean first = !seen.get(bit);
      seen.set(bit);
      return first;
    }

    private void advanceTo(long sequence) {
      if (sequence - highest >= WINDOW_SIZE) {
        seen.clear();
        highest = sequence;
      }
      while (highest < sequence) {
        highest++;
        seen.clear((int) (highest % WINDOW_SIZE));
      }
    }
  }
}
