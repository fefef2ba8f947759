package org.hickorymoor.cli.client;

import java.util.ArrayList;
import java.util.List;

/** A clock that only pauses move. */
final class FakePacer implements Pacer {

  final List<Long> pausesMs = new ArrayList<>();
  private long nowMs;

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public void sleep(long durationMs) {
    pausesMs.add(durationMs);
    nowMs += durationMs;
  }
}
