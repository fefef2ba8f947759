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
 * Knows which hosts there are, from the platform's lagging list and from what peers say themselves.
 *
 * <pre>{@code
 * Membership membership =
 *     new Membership(settings, hostList, client::call, this::ownStatus, clock);
 * membership.start();
 * membership.coordinatorAddress().ifPresent(this::forward);
 * }</pre>
 *
 * <p>What it says may be out of date at any time, so nothing that must be certain may rest on it.
 * Safe for use by several threads.
 */
public final class Membership {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int PAUSE_FACTOR = 3;
  private static final long STOP_TIMEOUT_MS = 2_000;

  private final MembershipSettings settings;
  private final HostListPort hostList;
  private final PeerCalls calls;
  private final Supplier<Status> ownStatus;
  private final LongSupplier nowMs;
  private final HostTable table;
  private final List<MembershipListener> listeners = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(Membership::newThread);
  private long lastExchangeMs = Long.MIN_VALUE;
  private long lastRemoteExchangeMs = Long.MIN_VALUE;

  /**
   * Makes a membership that knows of no host.
   *
   * @param settings who this host is, and how often it asks
   * @param hostList the platform's list
   * @param calls calls peers
   * @param ownStatus what to say of this host
   * @param nowMs monotonic time
   */
  public Membership(
      MembershipSettings settings,
      HostListPort hostList,
      PeerCalls calls,
      Supplier<Status> ownStatus,
      LongSupplier nowMs) {
    this.settings = settings;
    this.hostList = hostList;
    this.calls = calls;
    this.ownStatus = ownStatus;
    this.nowMs = nowMs;
    this.table = new HostTable(settings);
  }

  /** Starts to ask. */
  public void start() {
    repeat(this::pollHostList, settings.hostListPollMs());
    repeat(this::exchangeStatuses, settings.statusMs());
  }

  /** Stops asking; what is known stays. */
  public void stop() {
    scheduler.shutdownNow();
    try {
      if (!scheduler.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        logger.atWarning().log("membership: thread did not end in time");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Adds a listener for changes from now on.
   *
   * @param listener told of every change
   */
  public void addListener(MembershipListener listener) {
    listeners.add(listener);
  }

  /**
   * Takes what a peer said of itself in a request.
   *
   * @param status what it said
   */
  public void heard(Status status) {
    publish(table.heard(status, "", nowMs.getAsLong()));
  }

  /**
   * Returns the workers of the own domain.
   *
   * @return workers in the newest list, leaving ones included
   */
  public List<HostEntry> workers() {
    return table.workers();
  }

  /**
   * Finds an entry host of any domain.
   *
   * @param hostId name of the host
   * @return the host, unless it is not known or is this host
   */
  public Optional<HostEntry> entryHost(String hostId) {
    return table.entryHost(hostId);
  }

  /**
   * Returns how an entry host is.
   *
   * @param hostId name of the host
   * @return its condition
   */
  public HostCondition conditionOf(String hostId) {
    return table.conditionOf(hostId);
  }

  /**
   * Returns the other entry hosts of the own domain that are live.
   *
   * @return the hosts, the one heard last first
   */
  public List<HostEntry> livePeers() {
    return table.entryHosts(
        host -> isIn(host, settings.domain()) && host.condition() == HostCondition.LIVE);
  }

  /**
   * Returns what an entry host last said of itself.
   *
   * @param hostId name of the host
   * @return its status, or nothing if it was never heard
   */
  public Optional<Status> statusOf(String hostId) {
    return table.statusOf(hostId);
  }

  /**
   * Finds the coordinator of the own domain.
   *
   * @return ip:port of this host or of the peer that says it is the coordinator and was heard last
   */
  public Optional<String> coordinatorAddress() {
    if (ownStatus.get().coordinator()) {
      return Optional.of(settings.address());
    }
    return first(table.entryHosts(host -> isIn(host, settings.domain()) && isCoordinator(host)));
  }

  /**
   * Finds an entry host to forward to.
   *
   * @param domain failure domain that it should be in
   * @return ip:port of the coordinator if known, or else of the host most likely to answer
   */
  public Optional<String> entryAddressIn(String domain) {
    Optional<String> coordinator =
        first(table.entryHosts(host -> isIn(host, domain) && isCoordinator(host)));
    return coordinator.or(() -> first(table.entryHosts(host -> isUsable(host, domain))));
  }

  /** Reads the host list once. */
  void pollHostList() {
    var unused =
        hostList
            .hosts(settings.callTimeoutMs())
            .whenComplete((list, failure) -> onHostList(list, failure));
  }

  /** Judges all hosts, then exchanges statuses with those that are due. */
  void exchangeStatuses() {
    long now = nowMs.getAsLong();
    notePause(now);
    publish(table.judge(now));
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

  private void notePause(long now) {
    boolean paused =
        lastExchangeMs != Long.MIN_VALUE
            && now - lastExchangeMs >= PAUSE_FACTOR * settings.statusMs();
    if (paused) {
      logger.atWarning().log("membership: this host was paused, silence until now is not counted");
      table.resumedAt(now);
    }
    lastExchangeMs = now;
  }

  /** Exchanges with one host of each other domain: the best, or any if none is known to live. */
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

  /** Exchanges with the seeds that are not known as hosts yet. */
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
        calls
            .call(peer, ownStatus.get(), settings.callTimeoutMs())
            .whenComplete((reply, failure) -> onReply(peer, reply, failure));
  }

  private void onReply(PeerAddress peer, @Nullable PeerReply reply, @Nullable Throwable failure) {
    if (reply instanceof PeerReply.StatusReply status) {
      publish(table.heard(status.status(), peer.address(), nowMs.getAsLong()));
    } else if (failure != null) {
      logger.atFine().log("membership: %s gave no status, %s", peer.address(), failure);
    }
  }

  private void onHostList(@Nullable HostList list, @Nullable Throwable failure) {
    if (list != null) {
      publish(table.update(list, nowMs.getAsLong()));
    } else {
      logger.atFine().log("membership: host list gave no answer, %s", failure);
    }
  }

  private void publish(List<MembershipChange> changes) {
    for (MembershipChange change : changes) {
      logger.atInfo().log(
          "membership: %s %s, was %s", change.host().hostId(), change.after(), change.before());
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

  private static boolean isUsable(EntryHost host, String domain) {
    return isIn(host, domain) && host.condition() != HostCondition.DEAD;
  }

  private static Optional<String> first(List<HostEntry> hosts) {
    return hosts.stream().findFirst().map(HostEntry::address);
  }

  private void repeat(Runnable task, long periodMs) {
    var unused =
        scheduler.scheduleWithFixedDelay(() -> runSafely(task), 0, periodMs, TimeUnit.MILLISECONDS);
  }

  private static void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("membership: round failed");
    }
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "membership");
    thread.setDaemon(true);
    return thread;
  }
}
