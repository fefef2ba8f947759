package org.hickorymoor.daemon.shard;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.port.KeyedLogPort.StoredRecord;
import org.hickorymoor.daemon.port.KeyedStream;

/** Successive coordinators that grant a lease to one worker and keep its bound in a ledger. */
final class SimulatedTerms {

  static final String WORKER = "w";

  /** Lease on the clock of the worker. */
  private static final long WORKER_LEASE_MS = 6_000;

  /** Shorter than the lease of a coordinator, so that a stored bound ends first. */
  static final long LEASE_MS = HeartbeatHistory.maxElapsedMs(WORKER_LEASE_MS);

  /** How long the store takes for a heartbeat. */
  static final long APPEND_MS = 4;

  static final long SUSPENSION_MS = 2_000;

  private final VirtualTime time;
  private final FakeStore store;
  private final List<Host> hosts = new ArrayList<>();

  /** Above 0, so that no host takes the first simulated term for the first one ever. */
  private long nextOffset = 3;

  SimulatedTerms(VirtualTime time, FakeStore store) {
    this.time = time;
    this.store = store;
  }

  /** A host that observes the heartbeats from its start on. */
  final class Host {
    private final VirtualTime.HostEventLoop loop = time.new HostEventLoop();
    private final HeartbeatHistory history = new HeartbeatHistory(loop, WORKER_LEASE_MS);
    private final String id = "h" + hosts.size();

    Host() {
      hosts.add(this);
    }

    Term elect(long epoch) {
      sendHeartbeat(epoch);
      time.advance(50);
      Term term = new Term(this, epoch);
      time.advance(50);
      return term;
    }

    void sendHeartbeat(long epoch) {
      long sentNs = loop.nowNs();
      CoordinatorRecord heartbeat = new CoordinatorRecord(epoch, id, id, "nonce", false, 0);
      time.after(
          APPEND_MS,
          () -> {
            long offset = nextOffset++;
            hosts.forEach(
                host -> host.loop.execute(() -> host.history.onObserved(heartbeat, offset)));
            loop.execute(() -> history.onConfirmed(heartbeat, offset, sentNs));
          });
    }

    /** Learns that a new process of another host has started just now. */
    void onStarted(Host other, long newestEpoch) {
      history.onHostStarted(other.id, newestEpoch, loop.nowNs());
    }

    /** Suspends the host, and returns at the end of the suspension. */
    void suspend() {
      loop.suspend(SUSPENSION_MS);
      time.advance(SUSPENSION_MS);
    }
  }

  /** The term of a host as coordinator, which reads the bounds that are stored. */
  final class Term implements LatestRecordReader.Handler {
    private final Host host;
    private final long epoch;
    private final LeaseBounds bounds;
    private long grantedNs;
    private long trueEndMs;

    Term(Host host, long epoch) {
      this.host = host;
      this.epoch = epoch;
      LedgerWriter ledger =
          new LedgerWriter(
              host.loop,
              store.port("h"),
              "writer",
              epoch,
              new ShardMetrics(new MetricRegistry()),
              () -> {});
      bounds = new LeaseBounds(host.loop, ledger, host.history, epoch);
      ledger.open(
          () -> LatestRecordReader.read(host.loop, store.port("h"), KeyedStream.LEDGER, this));
    }

    @Override
    public boolean isClosed() {
      return false;
    }

    @Override
    public void onRecord(StoredRecord stored) {
      if (LeaseBounds.isBound(stored.key())) {
        bounds.restore(stored.key(), stored.value());
      }
    }

    @Override
    public void onComplete(long endOffset) {}

    Host host() {
      return host;
    }

    LeaseBounds bounds() {
      return bounds;
    }

    /** Returns when the lease that was granted last must have ended, in virtual time. */
    long trueEndMs() {
      return trueEndMs;
    }

    void grant() {
      grantedNs = host.loop.nowNs();
      trueEndMs = time.nowMs() + LEASE_MS;
    }

    void sendHeartbeat() {
      host.sendHeartbeat(epoch);
    }

    /** Sends a heartbeat, and returns when the next one is due. */
    void beat() {
      sendHeartbeat();
      time.advance(ShardSettings.HEARTBEAT_MS);
    }

    void store() {
      bounds.store(WORKER, grantedNs + TimeUnit.MILLISECONDS.toNanos(LEASE_MS), grantedNs);
    }

    /** Grants a lease and stores its bound. */
    void grantAndStore() {
      grant();
      time.advance(10);
      beat();
      store();
      time.advance(50);
    }

    /** Returns when this term takes the former leases of a worker as ended, in virtual time. */
    long formerLeaseEndsMs(String worker) {
      long remainingNs = bounds.formerLeaseEndsNs(worker) - host.loop.nowNs();
      return time.nowMs() + TimeUnit.NANOSECONDS.toMillis(remainingNs);
    }
  }
}
