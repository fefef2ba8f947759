package org.hickorymoor.daemon.peer;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.Spread;

/** Creates servers and clients for a test, and stops them in reverse order. */
final class PeerFixture implements AutoCloseable {

  static final long CALL_TIMEOUT_MS = 20_000;
  static final RequestKey KEY = new RequestKey("press", "k-1");

  final MetricRegistry serverMetrics = new MetricRegistry();
  final MetricRegistry clientMetrics = new MetricRegistry();
  private final Deque<Runnable> cleanups = new ArrayDeque<>();

  static PeerSettings settings() {
    return PeerSettings.defaults("kano", "north").withHeartbeat(100, 1_500).withStopGraceMs(0);
  }

  /** Settings with a long heartbeat timeout, for tests with a {@link RawPeer}, which sends none. */
  static PeerSettings longTimeoutSettings() {
    return settings().withHeartbeat(100, 4 * CALL_TIMEOUT_MS);
  }

  static PeerHandler doneHandler() {
    return request -> CompletableFuture.completedFuture(new PeerReply.Done());
  }

  static JobSpec spec(String payload) {
    return new JobSpec(
        KEY,
        "colour-proof",
        JobKind.BATCH,
        JobClass.URGENT,
        1,
        new Resources(1, 1, 500, 256, 0),
        0,
        payload,
        true,
        Spread.NONE,
        0,
        null);
  }

  PeerServer server(PeerSettings settings, PeerHandler handler) throws IOException {
    return server("127.0.0.1:0", settings, handler);
  }

  PeerServer server(String address, PeerSettings settings, PeerHandler handler) throws IOException {
    PeerServer server = new PeerServer(address, handler, settings, serverMetrics);
    server.start();
    cleanups.push(server::stop);
    return server;
  }

  PeerClient client(PeerSettings settings) throws IOException {
    PeerClient client = new PeerClient(settings, clientMetrics);
    client.start();
    cleanups.push(client::stop);
    return client;
  }

  TcpProxy proxy(String target) throws IOException {
    TcpProxy proxy = new TcpProxy(target);
    cleanups.push(proxy::close);
    return proxy;
  }

  long clientCount(String metric) {
    return clientMetrics.counter("peer.client." + metric).getCount();
  }

  long serverCount(String metric) {
    return serverMetrics.counter("peer.server." + metric).getCount();
  }

  /** Returns the reply, or throws the {@link PeerException} that the call failed with. */
  static PeerReply await(CompletableFuture<PeerReply> future) throws Exception {
    try {
      return future.get(2 * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw (PeerException) e.getCause();
    }
  }

  @Override
  public void close() {
    cleanups.forEach(Runnable::run);
  }
}
