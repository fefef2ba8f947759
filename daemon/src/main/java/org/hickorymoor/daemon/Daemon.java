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
import org.hickorymoor.daemon.http.HttpApiServer;
import org.hickorymoor.daemon.http.HttpApiServerFactory;
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
 * An entry host: serves callers and peers, and can be elected coordinator of its failure domain.
 *
 * <pre>{@code
 * Daemon daemon = new Daemon(settings);
 * daemon.start();
 * Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop));
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class Daemon {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NS_PER_MS = 1_000_000;
  private static final long COORDINATOR_TICK_MS = 25;
  private static final long CANDIDATE_STAGGER_MS = 300;
  private static final int INCARNATION_RADIX = 36;
  private static final int PEER_THREADS = 2;
  private static final int MAX_AUDIT_ENTRIES = 5_000;
  private static final long MIN_PAUSED_AFTER_MS = 1_000;
  private static final long PAUSED_AFTER_HEARTBEATS = 4;
  private static final long DEAD_AFTER_FACTOR = 4;
  private static final long REMOTE_STATUS_PERIOD_FACTOR = 10;

  private final DaemonSettings settings;
  private final String incarnation;
  private final MetricRegistry metrics = new MetricRegistry();
  private final ScheduledExecutorService executor;
  private final ExecutorService peerExecutor;
  private final JsonHttpClient platform;
  private final MembershipView membershipView;
  private final ConfigService config;
  private final AuditTrail audit;
  private final HostListPort hostList;
  private final LongSupplier clockMs = () -> System.nanoTime() / NS_PER_MS;
  private @Nullable Membership membership;
  private volatile boolean stopping;
  private final LogJournal journal;
  private final Coordinator coordinator;
  private final PeerClient peerClient;
  private final PeerServer peerServer;
  private final HttpApiServer http;
  private volatile boolean serving;

  /**
   * Creates a daemon; {@link #start} starts it.
   *
   * @param settings settings of the daemon
   * @throws IOException if no selector can be opened
   */
  public Daemon(DaemonSettings settings) throws IOException {
    this.settings = settings;
    long seed = System.nanoTime() ^ ProcessHandle.current().pid();
    SplittableRandom random = new SplittableRandom(seed);
    this.incarnation = Long.toString(random.nextLong(Integer.MAX_VALUE), INCARNATION_RADIX);
    this.executor = Executors.newSingleThreadScheduledExecutor(Daemon::newDaemonThread);
    this.peerExecutor = Executors.newFixedThreadPool(PEER_THREADS, Daemon::newDaemonThread);
    DaemonSettings.Timings timings = settings.timings();
    this.platform = new JsonHttpClient(timings.callTimeoutMs());
    this.hostList = new HttpHostListAdapter(platform, settings.hostsAddress());
    this.membershipView = new MembershipView(settings.hostId(), settings.domain());
    StreamContext streams =
        new StreamContext(
            new HttpLogAdapter(platform, settings.logAddress()), executor, clockMs, metrics);
    AppendRateLimiter appendRateLimiter =
        new AppendRateLimiter(settings.appendsPerSecond(), settings.appendsPerSecond(), clockMs);
    this.config =
        new ConfigService(
            streams, System::currentTimeMillis, appendRateLimiter, ConfigServiceSettings.DEFAULT);
    this.journal =
        new LogJournal(
            settings.hostId(),
            settings.domain(),
            incarnation,
            this::journalSettings,
            streams,
            appendRateLimiter,
            System::currentTimeMillis);
    this.audit = new AuditTrail(streams, incarnation, appendRateLimiter, MAX_AUDIT_ENTRIES);
    this.coordinator =
        new Coordinator(
            coordinatorSettings(),
            new HttpWorkerAdapter(platform),
            membershipView::workers,
            membershipView,
            policies(random),
            journal,
            new JobRecordSpecCodec(),
            clockMs,
            random.split());
    CellHandler cellHandler = new CellHandler(coordinator);
    PeerSettings peerSettings = PeerSettings.defaults(settings.domain(), settings.region());
    this.peerClient = new PeerClient(peerSettings, metrics);
    Router router =
        new Router(
            settings.domain(),
            membershipView,
            cellHandler,
            peerClient::call,
            clockMs,
            random.split());
    PeerRequestHandler requestHandler =
        new PeerRequestHandler(
            settings.domain(),
            this::status,
            this::onStatus,
            config,
            cellHandler,
            membershipView,
            router);
    this.peerServer =
        new PeerServer(settings.peerBind(), requestHandler, peerSettings, metrics, peerExecutor);
    JobService jobs = new JobService(settings.hostId(), incarnation, settings.domain(), router);
    this.http =
        HttpApiServerFactory.of(
            settings.httpBind(),
            settings.domain(),
            jobs,
            router,
            new HttpApiServerFactory.ConfigDependencies(
                config,
                new AuditedPublisher(config, audit, System::currentTimeMillis),
                audit,
                membershipView::knowsWorker),
            new HttpApiServerFactory.StatusSuppliers(
                this::cellView, () -> MetricsView.of(metrics), () -> serving && config.ready()));
  }

  private JournalSettings journalSettings() {
    ClusterConfig clusterConfig = config.current().config();
    return new JournalSettings(clusterConfig.dedupeWindowMs(), clusterConfig.logRetentionMs());
  }

  private Coordinator.Policies policies(SplittableRandom random) {
    boolean firstFit = settings.scheduler() == SchedulerKind.FIRST_FIT;
    Supplier<PolicySettings> policySettings =
        () -> PolicySettingsFactory.of(config.current().config(), settings.domain());
    Supplier<CellScheduler> scheduler =
        () ->
            firstFit
                ? new FirstFitScheduler(random.split())
                : new PolicyScheduler(policySettings.get(), random.split());
    return new Coordinator.Policies(
        scheduler, policySettings, () -> config.current().config().workers());
  }

  private void startMembership() {
    DaemonSettings.Timings timings = settings.timings();
    long pausedAfterMs =
        Math.max(MIN_PAUSED_AFTER_MS, PAUSED_AFTER_HEARTBEATS * timings.statusMs());
    MembershipSettings membershipSettings =
        new MembershipSettings(
            settings.hostId(),
            settings.domain(),
            settings.region(),
            peerServer.address(),
            settings.seedPeers(),
            timings.hostListPollMs(),
            timings.statusMs(),
            REMOTE_STATUS_PERIOD_FACTOR * timings.statusMs(),
            timings.callTimeoutMs(),
            pausedAfterMs,
            DEAD_AFTER_FACTOR * pausedAfterMs);
    Membership started =
        new Membership(membershipSettings, hostList, peerClient::call, this::status, clockMs);
    membership = started;
    membershipView.attach(started);
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
        stopping);
  }

  private void onStatus(Status status) {
    Membership current = membership;
    if (current != null) {
      current.statusReceived(status);
    }
  }

  private static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "background");
    thread.setDaemon(true);
    return thread;
  }

  private CoordinatorSettings coordinatorSettings() {
    DaemonSettings.Timings timings = settings.timings();
    return new CoordinatorSettings(
        settings.hostId(),
        incarnation,
        settings.domain(),
        new LeaseSettings(timings.holdLeaseMs(), timings.holdMarginMs()),
        timings.taskLeaseMs(),
        timings.syncWaitMs(),
        timings.callTimeoutMs(),
        COORDINATOR_TICK_MS,
        CANDIDATE_STAGGER_MS);
  }

  /**
   * Starts the clients and services, and serves peers and callers.
   *
   * @throws IOException if an address can't be bound
   * @throws PlatformException if the HTTP client for the platform can't be started
   */
  public void start() throws IOException, PlatformException {
    platform.start();
    peerClient.start();
    peerServer.start();
    startMembership();
    config.start();
    audit.start();
    journal.start();
    long statusMs = settings.timings().statusMs();
    new PeerConfigFetcher(config, membershipView, peerClient::call).start(executor, statusMs);
    coordinator.start();
    http.start();
    serving = true;
    logger.atInfo().log(
        "daemon: Host %s of domain %s is serving HTTP at %s and peers at %s.",
        settings.hostId(), settings.domain(), http.address(), peerServer.address());
  }

  /**
   * Stops gracefully: refuses new connections, stops coordinating the failure domain, and waits for
   * calls in flight for at most the configured grace period before it closes their connections.
   */
  public void stop() {
    logger.atInfo().log("daemon: Host %s is stopping.", settings.hostId());
    serving = false;
    stopping = true;
    http.stopAccepting();
    coordinator.stop();
    http.awaitCallsInFlight(settings.timings().stopGraceMs());
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
   * Returns the address of the HTTP interface.
   *
   * @return ip:port; the bound port once started
   */
  public String httpAddress() {
    return http.address();
  }

  /**
   * Returns the address of the peer interface.
   *
   * @return ip:port
   */
  public String peerAddress() {
    return peerServer.address();
  }

  private Map<String, Object> cellView() {
    Map<String, Object> view = new LinkedHashMap<>();
    view.put("hostId", settings.hostId());
    view.put("domain", settings.domain());
    view.put("coordinator", coordinator.isCoordinator());
    String coordinatorId =
        coordinator.isCoordinator()
            ? settings.hostId()
            : membershipView.coordinator().map(HostEntry::hostId).orElse("");
    view.put("coordinatorId", coordinatorId);
    view.put("workersOwned", coordinator.heldWorkers());
    view.put("workersKnown", membershipView.workers().size());
    view.put("jobsOpen", coordinator.openJobs());
    view.put("queued", coordinator.waitingTasks());
    view.put("running", coordinator.runningTasks());
    view.put("logState", EnumNames.toKebabCase(journal.status().state()));
    view.put("claims", coordinator.isCoordinator() && journal.canClaim());
    view.put("configVersion", config.current().config().version());
    view.put("peersLive", membershipView.livePeers().stream().map(HostEntry::hostId).toList());
    return view;
  }
}
