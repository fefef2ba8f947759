package org.hickorymoor.standins.http;

import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Threads and buffers that all HTTP services of a process share, so that one can host dozens.
 *
 * <p>They are started on first use and never stopped; the threads are daemons.
 */
final class SharedResources {

  private static final int MAX_THREADS = 512;
  private static final int MIN_THREADS = 1;
  private static final int THREAD_IDLE_MS = 10_000;
  private static final int BUFFER_STEP_BYTES = 1_024;
  private static final int MAX_BUFFER_BYTES = 64 * 1_024;
  private static final int MAX_BUFFERS_OF_A_SIZE = 32;
  private static final long MAX_POOLED_BYTES = 2 * 1_024 * 1_024;

  private static final SharedResources INSTANCE = new SharedResources();

  private final QueuedThreadPool threads =
      new QueuedThreadPool(MAX_THREADS, MIN_THREADS, THREAD_IDLE_MS);
  private final Scheduler scheduler = new ScheduledExecutorScheduler("http-timer", true);
  private final ByteBufferPool buffers =
      new ArrayByteBufferPool(
          0,
          BUFFER_STEP_BYTES,
          MAX_BUFFER_BYTES,
          MAX_BUFFERS_OF_A_SIZE,
          MAX_POOLED_BYTES,
          MAX_POOLED_BYTES);

  private SharedResources() {
    threads.setName("http");
    threads.setDaemon(true);
    threads.setReservedThreads(0);
  }

  /** Returns the one instance, started. */
  static SharedResources started() throws Exception {
    synchronized (INSTANCE) {
      INSTANCE.threads.start();
      INSTANCE.scheduler.start();
    }
    return INSTANCE;
  }

  QueuedThreadPool threads() {
    return threads;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  ByteBufferPool buffers() {
    return buffers;
  }
}
