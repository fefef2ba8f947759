package org.hickorymoor.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickorymoor.daemon.adapter.HttpHostListAdapter;
import org.hickorymoor.daemon.adapter.HttpLogAdapter;
import org.hickorymoor.daemon.adapter.HttpWorkerAdapter;
import org.hickorymoor.daemon.adapter.JsonHttpClient;
import org.hickorymoor.daemon.audit.AuditTrail;
import org.hickorymoor.daemon.config.AuditedPublisher;
import org.hickorymoor.daemon.config.ConfigService;
import org.hickorymoor.daemon.config.ConfigServiceSettings;
import org.hickorymoor.daemon.coordinator.CellHandler;
import org.hickorymoor.daemon.coordinator.Coordinator;
import org.hickorymoor.daemon.coordinator.CoordinatorSettings;
import org.hickorymoor.daemon.entry.JobService;
import org.hickorymoor.daemon.entry.Router;
import org.hickorymoor.daemon.http.HttpInterface;
import org.hickorymoor.daemon.http.HttpInterfaces;
import org.hickorymoor.daemon.journal.JournalSettings;
import org.hickorymoor.daemon.journal.LogJournal;
import org.hickorymoor.daemon.membership.Membership;
import org.hickorymoor.daemon.membership.MembershipSettings;
import org.hickorymoor.daemon.peer.PeerClient;
import org.hickorymoor.daemon.peer.PeerRequest.Status;
import org.hickorymoor.daemon.peer.PeerServer;
import org.hickorymoor.daemon.peer.PeerSettings;
import org.hickorymoor.daemon.port.HostListPort;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.settings.DaemonSettings;
import org.hickorymoor.daemon.settings.DaemonSettings.SchedulerKind;
import org.hickorymoor.daemon.stream.AppendRateLimiter;
import org.hickorymoor.daemon.stream.StreamContext;
import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.domain.lease.LeaseSettings;
import org.hickorymoor.domain.policy.CellScheduler;
import org.hickorymoor.domain.policy.FirstFitScheduler;
import org.hickorymoor.domain.policy.PolicyScheduler;
import org.hickorymoor.domain.policy.PolicySettings;
import org.hickorymoor.protocol.json.EnumNames;
import org.hickorymoor.protocol.platform.HostEntry;
import org.jspecify.annotations.Nullable;

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
  private static final int PEER_THREADS = 2;
  private static final int MAX_AUDIT_ENTRIES = 5_000;
  private static final long MIN_PAUSED_AFTER_MS = 1_000;
  private static final long HEARTBEATS_MISSED = 4;
  private static final long DEAD_FACTOR = 4;
  private static final long REMOTE_STATUS_FACTOR = 10;

  private final DaemonSettings settings;
  private final String incarnation;
  private final MetricRegistry metrics = new MetricRegistry();
  private final ScheduledExecutorService executor;
  private final ExecutorService peerExecutor;
  private final JsonHttpClient platform;
  private final Neighbours neighbours;
  private final ConfigService config;
  private final AuditTrail audit;
  private final HostListPort hostList;
  private final LongSupplier clockMs = () -> System.nanoTime() / NS_PER_MS;
  private @Nullable Membership membership;
  private volatile boolean leaving;
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
    this.peerExecutor = Executors.newFixedThreadPool(PEER_THREADS, Daemon::daemonThread);
    DaemonSettings.Times times = settings.times();
    this.platform = new JsonHttpClient(times.callTimeoutMs());
    this.hostList = new HttpHostListAdapter(platform, settings.hostsAddress());
    this.neighbours = new Neighbours(settings.hostId(), settings.domain());
    StreamContext streams =
        new StreamContext(
            new HttpLogAdapter(platform, settings.logAddress()), executor, clockMs, metrics);
    AppendRateLimiter budget =
        new AppendRateLimiter(settings.appendsPerSecond(), settings.appendsPerSecond(), clockMs);
    this.config =
        new ConfigService(
            streams, System::currentTimeMillis, budget, ConfigServiceSettings.DEFAULT);
    this.journal =
        new LogJournal(
            settings.hostId(),
            settings.domain(),
            incarnation,
            this::journalSettings,
            streams,
            budget,
            System::currentTimeMillis);
    this.audit = new AuditTrail(streams, incarnation, budget, MAX_AUDIT_ENTRIES);
    this.coordinator =
        new Coordinator(
            coordinatorSettings(),
            new HttpWorkerAdapter(platform),
            neighbours::workers,
            neighbours,
            policies(random),
            journal,
            new JobRecordText(),
            clockMs,
            random.split());
    CellHandler handler = new CellHandler(coordinator);
    PeerSettings peerSettings = PeerSettings.defaults(settings.domain(), settings.region());
    this.peerClient = new PeerClient(peerSettings, metrics);
    Router router =
        new Router(
            settings.domain(), neighbours, handler, peerClient::call, clockMs, random.split());
    PeerRequests requests =
        new PeerRequests(
            settings.domain(), this::status, this::heard, config, handler, neighbours, router);
    this.peerServer =
        new PeerServer(settings.peerBind(), requests, peerSettings, metrics, peerExecutor);
    JobService jobs = new JobService(settings.hostId(), incarnation, settings.domain(), router);
    this.http =
        HttpInterfaces.of(
            settings.httpBind(),
            settings.domain(),
            jobs,
            router,
            new HttpInterfaces.ConfigParts(
                config,
                new AuditedPublisher(config, audit, System::currentTimeMillis),
                audit,
                neighbours::knowsWorker),
            new HttpInterfaces.Views(
                this::cell, () -> MetricsView.of(metrics), () -> serving && config.ready()));
  }

  private JournalSettings journalSettings() {
    ClusterConfig inForce = config.current().config();
    return new JournalSettings(inForce.dedupeWindowMs(), inForce.logRetentionMs());
  }

  private Coordinator.Policies policies(SplittableRandom random) {
    boolean plain = settings.scheduler() == SchedulerKind.FIRST_FIT;
    Supplier<PolicySettings> inForce =
        () -> PolicyFromConfig.of(config.current().config(), settings.domain());
    Supplier<CellScheduler> scheduler =
        () ->
            plain
                ? new FirstFitScheduler(random.split())
                : new PolicyScheduler(inForce.get(), random.split());
    return new Coordinator.Policies(scheduler, inForce, () -> config.current().config().workers());
  }

  private void startMembership() {
    DaemonSettings.Times times = settings.times();
    long pausedAfterMs = Math.max(MIN_PAUSED_AFTER_MS, HEARTBEATS_MISSED * times.statusMs());
    MembershipSettings who =
        new MembershipSettings(
            settings.hostId(),
            settings.domain(),
            settings.region(),
            peerServer.address(),
            settings.seedPeers(),
            times.hostListPollMs(),
            times.statusMs(),
            REMOTE_STATUS_FACTOR * times.statusMs(),
            times.callTimeoutMs(),
            pausedAfterMs,
            DEAD_FACTOR * pausedAfterMs);
    Membership started = new Membership(who, hostList, peerClient::call, this::status, clockMs);
    membership = started;
    neighbours.follow(started);
    started.start();
  }

  private Status status() {
    return new Status(
        settings.hostId(),
        incarnation,
        settings.domain(),
        coordinator.isCoordinator(),
        coordinator.heldWorkers(),
        config.status().appliedOffset(),
        leaving);
  }

  private void heard(Status status) {
    Membership known = membership;
    if (known != null) {
      known.heard(status);
    }
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
        new LeaseSettings(times.holdLeaseMs(), times.holdMarginMs()),
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
    peerClient.start();
    peerServer.start();
    startMembership();
    config.start();
    audit.start();
    journal.start();
    long statusMs = settings.times().statusMs();
    new ConfigExchange(config, neighbours, peerClient::call).start(executor, statusMs);
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
    leaving = true;
    http.refuseConnections();
    coordinator.stop();
    http.finishCalls(settings.times().stopGraceMs());
    http.stop();
    peerServer.stop();
    if (membership != null) {
      membership.stop();
    }
    peerClient.stop();
    journal.stop();
    config.stop();
    audit.stop();
    platform.stop();
    peerExecutor.shutdown();
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
    view.put("coordinator", coordinator.isCoordinator());
    String coordinatorId =
        coordinator.isCoordinator()
            ? settings.hostId()
            : neighbours.coordinator().map(HostEntry::hostId).orElse("");
    view.put("coordinatorId", coordinatorId);
    view.put("workersOwned", coordinator.heldWorkers());
    view.put("workersKnown", neighbours.workers().size());
    view.put("jobsOpen", coordinator.openJobs());
    view.put("queued", coordinator.waitingTasks());
    view.put("running", coordinator.runningTasks());
    view.put("logState", EnumNames.toKebabCase(journal.status().state()));
    view.put("claims", coordinator.isCoordinator() && journal.canClaim());
    view.put("configVersion", config.current().config().version());
    view.put("peersLive", neighbours.livePeers().stream().map(HostEntry::hostId).toList());
    return view;
  }
}
