package org.hickorymoor.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;
import org.hickorymoor.daemon.adapter.HttpHostListAdapter;
import org.hickorymoor.daemon.adapter.HttpLogAdapter;
import org.hickorymoor.daemon.adapter.HttpWorkerAdapter;
import org.hickorymoor.daemon.adapter.PlatformHttp;
import org.hickorymoor.daemon.coordinator.CellHandler;
import org.hickorymoor.daemon.coordinator.Contenders;
import org.hickorymoor.daemon.coordinator.Coordinator;
import org.hickorymoor.daemon.coordinator.CoordinatorSettings;
import org.hickorymoor.daemon.entry.Directory;
import org.hickorymoor.daemon.entry.JobService;
import org.hickorymoor.daemon.entry.Router;
import org.hickorymoor.daemon.http.HttpInterface;
import org.hickorymoor.daemon.http.HttpInterfaces;
import org.hickorymoor.daemon.journal.JournalSettings;
import org.hickorymoor.daemon.journal.LogJournal;
import org.hickorymoor.daemon.peer.PeerClient;
import org.hickorymoor.daemon.peer.PeerServer;
import org.hickorymoor.daemon.peer.PeerSettings;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.settings.DaemonSettings;
import org.hickorymoor.daemon.stream.AppendBudget;
import org.hickorymoor.daemon.stream.StreamContext;
import org.hickorymoor.domain.lease.HoldSettings;
import org.hickorymoor.domain.policy.FirstFitScheduler;

/**
 * One entry host: serves callers, and coordinates its failure domain when it is its turn.
 *
 * <pre>{@code
 * Daemon daemon = new Daemon(settings);
 * daemon.start();
 * Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop));
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class Daemon {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NS_PER_MS = 1_000_000;
  private static final long TICK_MS = 25;
  private static final long STAGGER_MS = 300;
  private static final int INCARNATION_RADIX = 36;

  private final DaemonSettings settings;
  private final String incarnation;
  private final MetricRegistry metrics = new MetricRegistry();
  private final ScheduledExecutorService executor;
  private final PlatformHttp platform;
  private final HostListPoller hosts;
  private final LogJournal journal;
  private final Coordinator coordinator;
  private final PeerClient peerClient;
  private final PeerServer peerServer;
  private final HttpInterface http;
  private volatile boolean serving;

  /**
   * Makes a daemon that is not started.
   *
   * @param settings its settings
   * @throws IOException if the system gives no resources for it
   */
  public Daemon(DaemonSettings settings) throws IOException {
    this.settings = settings;
    long seed = System.nanoTime() ^ ProcessHandle.current().pid();
    SplittableRandom random = new SplittableRandom(seed);
    this.incarnation = Long.toString(random.nextLong(Integer.MAX_VALUE), INCARNATION_RADIX);
    this.executor = Executors.newSingleThreadScheduledExecutor(Daemon::daemonThread);
    DaemonSettings.Times times = settings.times();
    this.platform = new PlatformHttp(times.callTimeoutMs());
    this.hosts =
        new HostListPoller(
            new HttpHostListAdapter(platform, settings.hostsAddress()),
            settings.domain(),
            times.callTimeoutMs());
    LongSupplier clockMs = () -> System.nanoTime() / NS_PER_MS;
    StreamContext streams =
        new StreamContext(
            new HttpLogAdapter(platform, settings.logAddress()), executor, clockMs, metrics);
    AppendBudget budget =
        new AppendBudget(settings.appendsPerSecond(), settings.appendsPerSecond(), clockMs);
    this.journal =
        new LogJournal(
            settings.hostId(),
            settings.domain(),
            incarnation,
            JournalSettings.DEFAULT,
            streams,
            budget,
            System::currentTimeMillis);
    this.coordinator =
        new Coordinator(
            coordinatorSettings(),
            new HttpWorkerAdapter(platform),
            hosts::workers,
            new Alone(),
            () -> new FirstFitScheduler(random.split()),
            journal,
            new JobRecordText(),
            clockMs,
            random.split());
    CellHandler handler = new CellHandler(coordinator);
    PeerSettings peerSettings = PeerSettings.defaults(settings.domain(), settings.region());
    this.peerClient = new PeerClient(peerSettings, metrics);
    this.peerServer = new PeerServer(settings.peerBind(), handler, peerSettings, metrics);
    Router router =
        new Router(
            settings.domain(), new Alone(), handler, peerClient::call, clockMs, random.split());
    JobService jobs = new JobService(settings.hostId(), incarnation, settings.domain(), router);
    this.http =
        HttpInterfaces.of(
            settings.httpBind(),
            settings.domain(),
            jobs,
            router,
            new HttpInterfaces.Views(this::cell, Map::of, () -> serving));
  }

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "background");
    thread.setDaemon(true);
    return thread;
  }

  private CoordinatorSettings coordinatorSettings() {
    DaemonSettings.Times times = settings.times();
    return new CoordinatorSettings(
        settings.hostId(),
        incarnation,
        settings.domain(),
        new HoldSettings(times.holdLeaseMs(), times.holdMarginMs()),
        times.taskLeaseMs(),
        times.syncWaitMs(),
        times.callTimeoutMs(),
        TICK_MS,
        STAGGER_MS);
  }

  /**
   * Starts to serve.
   *
   * @throws IOException if an address can't be bound
   * @throws PlatformException if the platform's client can't be started
   */
  public void start() throws IOException, PlatformException {
    platform.start();
    hosts.start(executor, settings.times().hostListPollMs());
    peerClient.start();
    peerServer.start();
    journal.start();
    coordinator.start();
    http.start();
    serving = true;
    logger.atInfo().log(
        "daemon: Host %s of domain %s serves callers at %s and peers at %s.",
        settings.hostId(), settings.domain(), http.address(), peerServer.address());
  }

  /** Stops gracefully: hands the domain over and cuts off no call in flight. */
  public void stop() {
    logger.atInfo().log("daemon: Host %s stops.", settings.hostId());
    serving = false;
    http.refuseConnections();
    coordinator.stop();
    http.finishCalls(settings.times().stopGraceMs());
    http.stop();
    peerServer.stop();
    peerClient.stop();
    journal.stop();
    platform.stop();
    executor.shutdownNow();
    logger.atInfo().log("daemon: Host %s has stopped.", settings.hostId());
  }

  /**
   * Returns where callers are served.
   *
   * @return ip:port
   */
  public String httpAddress() {
    return http.address();
  }

  /**
   * Returns where other entry hosts are served.
   *
   * @return ip:port
   */
  public String peerAddress() {
    return peerServer.address();
  }

  private Map<String, Object> cell() {
    Map<String, Object> view = new LinkedHashMap<>();
    view.put("hostId", settings.hostId());
    view.put("domain", settings.domain());
    view.put("coordinator", coordinator.coordinating());
    view.put("workersOwned", coordinator.workersHeld());
    return view;
  }

  /** Knows no other host. */
  private static final class Alone implements Directory, Contenders {
    @Override
    public Optional<String> coordinatorAddress() {
      return Optional.empty();
    }

    @Override
    public Optional<String> entryAddressIn(String domain) {
      return Optional.empty();
    }

    @Override
    public boolean isNeighbour(String hostId) {
      return false;
    }

    @Override
    public boolean coordinatorAlive() {
      return false;
    }

    @Override
    public int rank() {
      return 0;
    }
  }
}
