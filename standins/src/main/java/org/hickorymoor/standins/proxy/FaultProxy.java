package org.hickorymoor.standins.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * A TCP proxy between any client and a target, with faults that can be switched while it runs.
 *
 * <pre>{@code
 * FaultProxy proxy = new FaultProxy(ProxySettings.to(worker.address(), 1));
 * proxy.start();
 * proxy.setFaults(ProxyFaults.NONE.withDelay(30, 30));
 * proxy.silenceConnections(); // existing connections go silent for good, new ones work
 * proxy.stop();
 * }</pre>
 *
 * <p>When a change of faults returns, it is in force. A connection that has lost a byte stays
 * silent in that direction for good. The port of the first start is kept over a stop and a later
 * start. Safe for use by several threads.
 */
public final class FaultProxy {

  private final ProxySettings settings;
  private final ByteCounters counters = new ByteCounters();
  private final Object lock = new Object();
  private int port;
  private ProxyFaults faults = ProxyFaults.NONE;
  private @Nullable ProxyLoop loop;
  private @Nullable Thread thread;

  /**
   * Makes the proxy without starting it.
   *
   * @param settings its settings
   */
  public FaultProxy(ProxySettings settings) {
    this.settings = settings;
    this.port = settings.port();
  }

  /**
   * Binds the port and forwards.
   *
   * @throws IOException if the port can't be bound
   */
  public void start() throws IOException {
    synchronized (lock) {
      ServerSocketChannel listener = listen();
      port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
      ProxyLoop starting = new ProxyLoop(settings, listener, faults, counters);
      loop = starting;
      thread = new Thread(starting, "proxy-" + port);
      thread.setDaemon(true);
      thread.start();
    }
  }

  /** Closes the port and every connection. Does nothing if the proxy does not run. */
  public void stop() {
    synchronized (lock) {
      ProxyLoop stopping = loop;
      Thread ending = thread;
      loop = null;
      thread = null;
      if (stopping != null && ending != null) {
        stopping.stop();
        join(ending);
      }
    }
  }

  /**
   * Returns where clients reach the proxy.
   *
   * @return {@code ip:port}
   */
  public String address() {
    synchronized (lock) {
      return settings.bindHost() + ":" + port;
    }
  }

  /**
   * Replaces the faults.
   *
   * @param changed faults from now on
   */
  public void setFaults(ProxyFaults changed) {
    synchronized (lock) {
      faults = changed;
      ProxyLoop running = loop;
      if (running != null) {
        await(running, () -> running.setFaults(changed));
      }
    }
  }

  /**
   * Returns the faults in force.
   *
   * @return the faults
   */
  public ProxyFaults faults() {
    synchronized (lock) {
      return faults;
    }
  }

  /** Makes existing connections silent for good in both directions; new ones work. */
  public void silenceConnections() {
    synchronized (lock) {
      ProxyLoop running = loop;
      if (running != null) {
        await(running, running::silenceLinks);
      }
    }
  }

  /**
   * Counts the connections that are open.
   *
   * @return number of open connections, silent ones included
   */
  public int connectionCount() {
    synchronized (lock) {
      ProxyLoop running = loop;
      if (running == null) {
        return 0;
      }
      int[] count = new int[1];
      await(running, () -> count[0] = running.linkCount());
      return count[0];
    }
  }

  /**
   * Counts the bytes forwarded to the target.
   *
   * @return bytes since the proxy was made
   */
  public long bytesToTarget() {
    return counters.toTarget().sum();
  }

  /**
   * Counts the bytes forwarded to clients.
   *
   * @return bytes since the proxy was made
   */
  public long bytesToClient() {
    return counters.toClient().sum();
  }

  /**
   * Counts the bytes that faults swallowed, in both directions.
   *
   * @return bytes since the proxy was made, without those of connections that were reset
   */
  public long lostBytes() {
    return counters.lost().sum();
  }

  private ServerSocketChannel listen() throws IOException {
    ServerSocketChannel listener = ServerSocketChannel.open();
    try {
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listener.bind(new InetSocketAddress(settings.bindHost(), port));
      return listener;
    } catch (IOException e) {
      listener.close();
      throw new IOException(
          "expected to bind " + settings.bindHost() + ":" + port + "; is the port taken?", e);
    }
  }

  private static void await(ProxyLoop running, Runnable command) {
    CompletableFuture<@Nullable Void> done = new CompletableFuture<>();
    running.execute(
        () -> {
          command.run();
          done.complete(null);
        });
    done.join();
  }

  private static void join(Thread ending) {
    try {
      ending.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
