package org.hickorymoor.daemon.membership;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickorymoor.daemon.peer.PeerAddress;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest.Status;
import org.hickorymoor.daemon.port.HostListPort;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostList;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the hosts of the cluster, from the platform's host list, which lags behind, and from the
 * statuses that peers exchange.
 *
 * <pre>{@code
 * Membership membership =
 *     new Membership(settings, hostList, client::call, this::ownStatus, clock);
 * membership.start();
 * membership.coordinatorAddress().ifPresent(this::forward);
 * }</pre>
 *
 * <p>The view may be out of date at any time, so correctness must not depend on it. Thread-safe.
 */
public final class Membership {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Status intervals without an exchange after which this host considers itself to have been
   * paused.
   */
  private static final int PAUSE_PERIODS = 3;

  private static final long STOP_TIMEOUT_MS = 2_000;

  private final MembershipSettings settings;
  private final HostListPort hostList;
  private final PeerCaller caller;
  private final Supplier<Status> ownStatus;
  private final LongSupplier nowMs;
  private final HostTable table;
  private final List<MembershipListener> listeners = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(Membership::newThread);
  private long lastExchangeMs = Long.MIN_VALUE;
  private long lastRemoteExchangeMs = Long.MIN_VALUE;

  /**
   * Creates a membership without known hosts.
   *
   * @param settings identity of this host, intervals and timeouts
   * @param hostList the platform's host list
   * @param caller sends requests to peers
   * @param ownStatus returns the current status of this host
   * @param nowMs monotonic clock
   */
  public Membership(
      MembershipSettings settings,
      HostListPort hostList,
      PeerCaller caller,
      Supplier<Status> ownStatus,
      LongSupplier nowMs) {
    this.settings = settings;
    this.hostList = hostList;
    this.caller = caller;
    this.ownStatus = ownStatus;
    this.nowMs = nowMs;
    this.table = new HostTable(settings);
  }

  /** Starts polling the host list and exchanging statuses. */
  public void start() {
    scheduleRepeatedly(this::pollHostList, settings.hostListPollMs());
    scheduleRepeatedly(this::exchangeStatuses, settings.statusMs());
  }

  /** Stops polling and exchanging statuses; the known hosts are kept. */
  public void stop() {
    scheduler.shutdownNow();
    try {
      if (!scheduler.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        logger.atWarning().log("membership: background thread did not terminate in time");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Adds a listener for future changes.
   *
   * @param listener called for every change
   */
  public void addListener(MembershipListener listener) {
    listeners.add(listener);
  }

  /**
   * Handles a status that a peer sent in a request.
   *
   * @param status status of the peer
   */
  public void statusReceived(Status status) {
    notifyListeners(table.statusReceived(status, "", nowMs.getAsLong()));
  }

  /**
   * Returns the workers of the own domain.
   *
   * @return workers in the most recent host list, including leaving ones
   */
  public List<HostEntry> workers() {
    return table.workers();
  }

  /**
   * Returns an entry host of any domain.
   *
   * @param hostId id of the host
   * @return the host; empty if it is unknown or is this host
   */
  public Optional<HostEntry> entryHost(String hostId) {
    return table.entryHost(hostId);
  }

  /**
   * Returns the condition of an entry host.
   *
   * @param hostId id of the host
   * @return its condition; {@link HostCondition#UNKNOWN} if it is not known
   */
  public HostCondition conditionOf(String hostId) {
    return table.conditionOf(hostId);
  }

  /**
   * Returns the other entry hosts of the own domain that are live.
   *
   * @return the hosts, the one with the most recent status first
   */
  public List<HostEntry> livePeers() {
    return table.entryHosts(
        host -> isIn(host, settings.domain()) && host.condition() == HostCondition.LIVE);
  }

  /**
   * Returns the last status of an entry host.
   *
   * @param hostId id of the host
   * @return its status; empty if none was received
   */
  public Optional<Status> statusOf(String hostId) {
    return table.statusOf(hostId);
  }

  /**
   * Returns the address of the coordinator of the own domain.
   *
   * @return ip:port of this host if it is the coordinator, or else of the peer that reported itself
   *     as the coordinator most recently
   */
  public Optional<String> coordinatorAddress() {
    if (ownStatus.get().coordinator()) {
      return Optional.of(settings.address());
    }
    return first(table.entryHosts(host -> isIn(host, settings.domain()) && isCoordinator(host)));
  }

  /**
   * Returns the address of an entry host to which requests can be forwarded.
   *
   * @param domain failure domain of the entry host
   * @return ip:port of the coordinator if known, or else of the host most likely to answer; empty
   *     if none is known or all are dead
   */
  public Optional<String> entryAddressIn(String domain) {
    Optional<String> coordinator =
        first(table.entryHosts(host -> isIn(host, domain) && isCoordinator(host)));
    return coordinator.or(() -> first(table.entryHosts(host -> isNotDeadIn(host, domain))));
  }

  /** Requests the host list once. */
  void pollHostList() {
    var unused =
        hostList
            .hosts(settings.callTimeoutMs())
            .whenComplete((list, failure) -> onHostList(list, failure));
  }

  /** Evaluates all hosts, then exchanges statuses with those that are due. */
  void exchangeStatuses() {
    long now = nowMs.getAsLong();
    detectOwnPause(now);
    notifyListeners(table.evaluate(now));
    if (!table.isListed()) {
      exchangeWithSeeds();
    }
    table.entryHosts(host -> isIn(host, settings.domain())).forEach(this::exchangeWith);
    if (lastRemoteExchangeMs == Long.MIN_VALUE
        || now - lastRemoteExchangeMs >= settings.remoteStatusMs()) {
      lastRemoteExchangeMs = now;
      exchangeWithOtherDomains();
    }
  }

  private void detectOwnPause(long now) {
    boolean paused =
        lastExchangeMs != Long.MIN_VALUE
            && now - lastExchangeMs >= PAUSE_PERIODS * settings.statusMs();
    if (paused) {
      logger.atWarning().log(
          "membership: this host was paused; silence of other hosts until now is ignored");
      table.ignoreSilenceBefore(now);
    }
    lastExchangeMs = now;
  }

  /** Exchanges with one host of each other domain: the best one if it is live, or a random one. */
  private void exchangeWithOtherDomains() {
    Set<String> done = new HashSet<>();
    List<HostEntry> others = table.entryHosts(host -> !isIn(host, settings.domain()));
    for (HostEntry best : others) {
      if (done.add(best.domain())) {
        List<HostEntry> hosts =
            others.stream().filter(host -> host.domain().equals(best.domain())).toList();
        boolean live = table.conditionOf(best.hostId()) == HostCondition.LIVE;
        exchangeWith(live ? best : hosts.get(ThreadLocalRandom.current().nextInt(hosts.size())));
      }
    }
  }

  private void exchangeWith(HostEntry host) {
    exchange(new PeerAddress(host.address(), host.domain(), host.region()));
  }

  /** Exchanges with the seed addresses that do not belong to a known host. */
  private void exchangeWithSeeds() {
    Set<String> known = new HashSet<>(Set.of(settings.address()));
    table.entryHosts(host -> true).forEach(host -> known.add(host.address()));
    for (String address : settings.seedAddresses()) {
      if (known.add(address)) {
        exchange(new PeerAddress(address, settings.domain(), settings.region()));
      }
    }
  }

  private void exchange(PeerAddress peer) {
    var unused =
        caller
            .call(peer, ownStatus.get(), settings.callTimeoutMs())
            .whenComplete((reply, failure) -> onReply(peer, reply, failure));
  }

  private void onReply(PeerAddress peer, @Nullable PeerReply reply, @Nullable Throwable failure) {
    if (reply instanceof PeerReply.StatusReply status) {
      notifyListeners(table.statusReceived(status.status(), peer.address(), nowMs.getAsLong()));
    } else if (failure != null) {
      logger.atFine().log(
          "membership: status exchange with %s failed: %s", peer.address(), failure);
    }
  }

  private void onHostList(@Nullable HostList list, @Nullable Throwable failure) {
    if (list != null) {
      notifyListeners(table.update(list, nowMs.getAsLong()));
    } else {
      logger.atFine().log("membership: reading the host list failed: %s", failure);
    }
  }

  private void notifyListeners(List<MembershipChange> changes) {
    for (MembershipChange change : changes) {
      logger.atInfo().log(
          "membership: host %s is %s, was %s",
          change.host().hostId(), change.after(), change.before());
      listeners.forEach(listener -> listener.onChange(change));
    }
  }

  private static boolean isIn(EntryHost host, String domain) {
    return host.entry().domain().equals(domain);
  }

  private static boolean isCoordinator(EntryHost host) {
    Status status = host.status();
    boolean answers =
        host.condition() == HostCondition.LIVE || host.condition() == HostCondition.LEAVING;
    return answers && status != null && status.coordinator();
  }

  private static boolean isNotDeadIn(EntryHost host, String domain) {
    return isIn(host, domain) && host.condition() != HostCondition.DEAD;
  }

  private static Optional<String> first(List<HostEntry> hosts) {
    return hosts.stream().findFirst().map(HostEntry::address);
  }

  private void scheduleRepeatedly(Runnable task, long periodMs) {
    var unused =
        scheduler.scheduleWithFixedDelay(() -> runSafely(task), 0, periodMs, TimeUnit.MILLISECONDS);
  }

  private static void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("membership: periodic task failed");
    }
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "membership");
    thread.setDaemon(true);
    return thread;
  }
}
