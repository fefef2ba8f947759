package org.hickorymoor.cli.client;

import java.util.ArrayList;
import java.util.List;

/** A clock that advances only by sleeping, and records all sleeps. */
final class FakeClock implements MonotonicClock {

  final List<Long> sleepsMs = new ArrayList<>();
  private long nowMs;

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public void sleep(long durationMs) {
    sleepsMs.add(durationMs);
    nowMs += durationMs;
  }
}
