package org.hickorymoor.daemon.peer;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * A thread that serves channels and timers.
 *
 * <p>{@link #start}, {@link #execute} and {@link #stop} are safe for use by several threads; all
 * other methods must be called on the loop's own thread.
 */
final class EventLoop {

  /** Handles a channel that is ready for an operation. */
  interface KeyHandler {
    void onReady(SelectionKey key) throws IOException;
  }

  /** A task scheduled for a point in time. */
  static final class Timer implements Comparable<Timer> {
    private final long atNs;
    private final long sequence;
    private final Runnable task;

    private Timer(long atNs, long sequence, Runnable task) {
      this.atNs = atNs;
      this.sequence = sequence;
      this.task = task;
    }

    @Override
    public int compareTo(Timer other) {
      int byTime = Long.signum(atNs - other.atNs);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }

    @Override
    public boolean equals(Object other) {
      return this == other;
    }

    @Override
    public int hashCode() {
      return Long.hashCode(sequence);
    }
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int READ_BUFFER_BYTES = 64 * 1024;
  private static final long STOP_TIMEOUT_MS = 2_000;

  private final Thread thread;
  private final Selector selector;
  private final Runnable onTermination;
  private final TreeSet<Timer> timers = new TreeSet<>();
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
  private final Object lock = new Object();
  private long timerSequence;

  @GuardedBy("lock")
  private Queue<Runnable> tasks = new ArrayDeque<>();

  @GuardedBy("lock")
  private boolean stopped;

  /**
   * Creates a loop that is not running yet.
   *
   * @param name name of its thread
   * @param onTermination run last, also if the loop fails
   * @throws IOException if no selector can be opened
   */
  EventLoop(String name, Runnable onTermination) throws IOException {
    this.selector = Selector.open();
    this.onTermination = onTermination;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /**
   * Runs a task on the loop's thread.
   *
   * @param task the task
   * @return false if the loop has stopped and will not run the task
   */
  boolean execute(Runnable task) {
    synchronized (lock) {
      if (stopped) {
        return false;
      }
      tasks.add(task);
      if (tasks.size() > 1) {
        return true;
      }
    }
    if (Thread.currentThread() != thread) {
      selector.wakeup();
    }
    return true;
  }

  /** Runs the tasks already submitted, then stops the loop and closes every channel. */
  void stop() {
    synchronized (lock) {
      stopped = true;
    }
    selector.wakeup();
    if (thread.getState() == Thread.State.NEW) {
      shutDown();
      return;
    }
    try {
      thread.join(STOP_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the shared read buffer, cleared; its content is not kept between calls. */
  ByteBuffer readBuffer() {
    return readBuffer.clear();
  }

  SelectionKey register(SelectableChannel channel, int operations, KeyHandler handler)
      throws ClosedChannelException {
    return channel.register(selector, operations, handler);
  }

  /** Closes the server channels, so that no new connections are accepted. */
  void closeAcceptors() {
    for (SelectionKey key : selector.keys()) {
      if (key.channel() instanceof ServerSocketChannel) {
        closeChannel(key);
      }
    }
  }

  Timer schedule(long delayMs, Runnable task) {
    return add(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs), task);
  }

  /**
   * Schedules a task, rounding its time up to a multiple of the granularity, so that one wakeup
   * serves several tasks.
   */
  Timer scheduleAligned(long delayMs, long granularityMs, Runnable task) {
    long granularityNs = TimeUnit.MILLISECONDS.toNanos(granularityMs);
    long atNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
    return add(atNs + Math.floorMod(-atNs, granularityNs), task);
  }

  private Timer add(long atNs, Runnable task) {
    Timer timer = new Timer(atNs, timerSequence++, task);
    timers.add(timer);
    return timer;
  }

  void cancel(Timer timer) {
    timers.remove(timer);
  }

  private void run() {
    try {
      boolean more = true;
      while (more) {
        more = runOnce();
      }
    } catch (IOException e) {
      logger.atSevere().withCause(e).log("peer: selector failed, stopping the I/O thread");
    } finally {
      shutDown();
    }
  }

  private boolean runOnce() throws IOException {
    long waitMs = waitMs();
    if (waitMs == 0) {
      selector.selectNow(EventLoop::handle);
    } else {
      selector.select(EventLoop::handle, waitMs);
    }
    runTasks();
    fireTimers();
    synchronized (lock) {
      return !stopped || !tasks.isEmpty();
    }
  }

  /** Returns the timeout for the selector; 0 for no wait. */
  private long waitMs() {
    synchronized (lock) {
      if (stopped || !tasks.isEmpty()) {
        return 0;
      }
    }
    if (timers.isEmpty()) {
      return TimeUnit.HOURS.toMillis(1);
    }
    long remainingNs = timers.first().atNs - System.nanoTime();
    return remainingNs <= 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(remainingNs) + 1;
  }

  private static void handle(SelectionKey key) {
    KeyHandler handler = (KeyHandler) key.attachment();
    try {
      handler.onReady(key);
    } catch (IOException | RuntimeException e) {
      logger.atWarning().withCause(e).log("peer: channel handler failed, closing the channel");
      closeChannel(key);
    }
  }

  private void runTasks() {
    Queue<Runnable> batch;
    synchronized (lock) {
      batch = tasks;
      tasks = new ArrayDeque<>();
    }
    batch.forEach(EventLoop::runSafely);
  }

  private void fireTimers() {
    long nowNs = System.nanoTime();
    while (!timers.isEmpty() && timers.first().atNs - nowNs <= 0) {
      Timer timer = timers.first();
      timers.remove(timer);
      runSafely(timer.task);
    }
  }

  private static void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("peer: task on the I/O thread failed");
    }
  }

  private void shutDown() {
    synchronized (lock) {
      stopped = true;
    }
    runTasks();
    runSafely(onTermination);
    selector.keys().forEach(EventLoop::closeChannel);
    try {
      selector.close();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("peer: closing the selector failed");
    }
  }

  private static void closeChannel(SelectionKey key) {
    try {
      key.channel().close();
    } catch (IOException e) {
      logger.atFine().withCause(e).log("peer: closing a channel failed");
    }
  }
}
