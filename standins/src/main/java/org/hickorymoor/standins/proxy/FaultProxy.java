package org.hickorymoor.standins.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * A TCP proxy to a target that injects faults, which can be changed at run time.
 *
 * <pre>{@code
 * FaultProxy proxy = new FaultProxy(ProxySettings.to(worker.address(), 1));
 * proxy.start();
 * proxy.setFaults(ProxyFaults.NONE.withDelay(30, 30));
 * proxy.blackholeConnections(); // existing connections are blackholed, new ones work
 * proxy.stop();
 * }</pre>
 *
 * <p>Changed faults are in force when the call returns. A connection that has lost a byte forwards
 * nothing more in that direction. The port of the first start is reused after a restart.
 * Thread-safe.
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
   * Creates the proxy without starting it.
   *
   * @param settings its settings
   */
  public FaultProxy(ProxySettings settings) {
    this.settings = settings;
    this.port = settings.port();
  }

  /**
   * Binds the port and starts forwarding.
   *
   * @throws IOException if the port can't be bound
   */
  public void start() throws IOException {
    synchronized (lock) {
      ServerSocketChannel listener = bindListener();
      port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
      ProxyLoop starting = new ProxyLoop(settings, listener, faults, counters);
      loop = starting;
      thread = new Thread(starting, "proxy-" + port);
      thread.setDaemon(true);
      thread.start();
    }
  }

  /** Closes the port and all connections. No-op if the proxy is not running. */
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
   * Returns the address at which clients reach the proxy.
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
        executeAndWait(running, () -> running.setFaults(changed));
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

  /**
   * Permanently discards all data of existing connections in both directions, without closing them;
   * new connections work.
   */
  public void blackholeConnections() {
    synchronized (lock) {
      ProxyLoop running = loop;
      if (running != null) {
        executeAndWait(running, running::blackholeConnections);
      }
    }
  }

  /**
   * Returns the number of open connections.
   *
   * @return number of open connections, including blackholed ones
   */
  public int connectionCount() {
    synchronized (lock) {
      ProxyLoop running = loop;
      if (running == null) {
        return 0;
      }
      int[] count = new int[1];
      executeAndWait(running, () -> count[0] = running.connectionCount());
      return count[0];
    }
  }

  /**
   * Returns the number of bytes forwarded to the target.
   *
   * @return bytes since construction
   */
  public long bytesToTarget() {
    return counters.toTarget().sum();
  }

  /**
   * Returns the number of bytes forwarded to clients.
   *
   * @return bytes since construction
   */
  public long bytesToClient() {
    return counters.toClient().sum();
  }

  /**
   * Returns the number of bytes discarded by faults, in both directions.
   *
   * @return bytes since construction, excluding those of connections that were reset
   */
  public long lostBytes() {
    return counters.lost().sum();
  }

  private ServerSocketChannel bindListener() throws IOException {
    ServerSocketChannel listener = ServerSocketChannel.open();
    try {
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listener.bind(new InetSocketAddress(settings.bindHost(), port));
      return listener;
    } catch (IOException e) {
      listener.close();
      throw new IOException(
          "failed to bind " + settings.bindHost() + ":" + port + "; is the port in use?", e);
    }
  }

  private static void executeAndWait(ProxyLoop running, Runnable command) {
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
