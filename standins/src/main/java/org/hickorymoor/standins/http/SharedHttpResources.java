package org.hickorymoor.standins.http;

import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Threads and buffers shared by all HTTP services of a process, so that one process can host dozens
 * of them.
 *
 * <p>Started on first use and never stopped; the threads are daemon threads.
 */
final class SharedHttpResources {

  private static final int MAX_THREADS = 512;
  private static final int MIN_THREADS = 1;
  private static final int THREAD_IDLE_MS = 10_000;
  private static final int BUFFER_SIZE_INCREMENT_BYTES = 1_024;
  private static final int MAX_BUFFER_BYTES = 64 * 1_024;
  private static final int MAX_BUFFERS_PER_SIZE = 32;
  private static final long MAX_POOLED_BYTES = 2 * 1_024 * 1_024;

  private static final SharedHttpResources INSTANCE = new SharedHttpResources();

  private final QueuedThreadPool threads =
      new QueuedThreadPool(MAX_THREADS, MIN_THREADS, THREAD_IDLE_MS);
  private final Scheduler scheduler = new ScheduledExecutorScheduler("http-timer", true);
  private final ByteBufferPool buffers =
      new ArrayByteBufferPool(
          0,
          BUFFER_SIZE_INCREMENT_BYTES,
          MAX_BUFFER_BYTES,
          MAX_BUFFERS_PER_SIZE,
          MAX_POOLED_BYTES,
          MAX_POOLED_BYTES);

  private SharedHttpResources() {
    threads.setName("http");
    threads.setDaemon(true);
    threads.setReservedThreads(0);
  }

  /** Returns the singleton, started. */
  static SharedHttpResources started() throws Exception {
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
