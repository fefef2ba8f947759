package org.hickorymoor.domain.runtime;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that evicts the least recently used entry beyond some size. */
final class LruMap<K, V> extends LinkedHashMap<K, V> {

  private static final long serialVersionUID = 1L;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxSize;

  LruMap(int maxSize) {
    super(16, LOAD_FACTOR, true);
    this.maxSize = maxSize;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxSize;
  }
}
