package org.hickorymoor.standins.proxy;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what a proxy did with the bytes. Safe for use by several threads.
 *
 * @param toTarget bytes forwarded to the target
 * @param toClient bytes forwarded to clients
 * @param lost bytes swallowed
 */
record ByteCounters(LongAdder toTarget, LongAdder toClient, LongAdder lost) {
  ByteCounters() {
    this(new LongAdder(), new LongAdder(), new LongAdder());
  }
}
