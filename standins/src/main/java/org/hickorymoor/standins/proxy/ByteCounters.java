package org.hickorymoor.standins.proxy;

import java.util.concurrent.atomic.LongAdder;

/**
 * Byte counters of a proxy. Thread-safe.
 *
 * @param toTarget bytes forwarded to the target
 * @param toClient bytes forwarded to clients
 * @param lost bytes discarded by faults
 */
record ByteCounters(LongAdder toTarget, LongAdder toClient, LongAdder lost) {
  ByteCounters() {
    this(new LongAdder(), new LongAdder(), new LongAdder());
  }
}
