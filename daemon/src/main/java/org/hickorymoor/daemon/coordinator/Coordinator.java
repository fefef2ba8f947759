package org.hickorymoor.daemon.coordinator;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.hickorymoor.daemon.port.WorkerPort;
import org.hickorymoor.domain.config.WorkersConfig;
import org.hickorymoor.domain.lease.DomainAuthority;
import org.hickorymoor.domain.policy.CellScheduler;
import org.hickorymoor.domain.policy.PolicySettings;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.SyncReply;
import org.jspecify.annotations.Nullable;

/**
 * Runs for coordinator of a failure domain when there is none, and serves while it has authority.
 *
 * <p>The coordinator is the host that holds ownership leases on more than half of the domain's
 * workers. The leases are stored on the workers ({@code docs/design/ownership.md}), so an election
 * needs neither the log nor the other entry hosts.
 *
 * <p>Thread-safe.
 */
public final class Coordinator {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TERM_TAG_BOUND = 36 * 36 * 36 * 36;
  private static final int ID_RADIX = 36;
  private static final long STOP_TIMEOUT_MS = 5_000;
  private static final long POLL_MS = 20;
  private static final long TERM_RETRY_MS = 1_000;

  private final CoordinatorSettings settings;
  private final Supplier<List<HostEntry>> workerHosts;
  private final ElectionPeers electionPeers;
  private final Policies policies;
  private final JobJournal journal;
  private final JobSpecCodec specCodec;
  private final LongSupplier clockMs;
  private final RandomGenerator random;
  private final Jitter jitter;
  private final WorkerTable workers;
  private final ScheduledExecutorService executor;
  private final AtomicLong authorityUntilMs = new AtomicLong(Long.MIN_VALUE);
  private final Object lock = new Object();
  private @Nullable Term term;
  private long noCoordinatorSinceMs;
  private long termStartMs;
  private boolean stopping;

  /**
   * Sources of the scheduling policy.
   *
   * @param scheduler creates the scheduler for a term
   * @param settings current policy settings
   * @param workers current worker limits and drained workers
   */
  public record Policies(
      Supplier<CellScheduler> scheduler,
      Supplier<PolicySettings> settings,
      Supplier<WorkersConfig> workers) {}

  /**
   * Creates a coordinator; call {@link #start} to run it.
   *
   * @param settings identifiers and timeouts
   * @param port sends commands to workers
   * @param workerHosts the workers of the failure domain, as the platform lists them
   * @param electionPeers the other entry hosts
   * @param policies sources of the scheduling policy
   * @param journal records job state in the log
   * @param specCodec encodes and decodes the job specification in a task's labels
   * @param clockMs monotonic time
   * @param random source of jitter and term tags
   */
  public Coordinator(
      CoordinatorSettings settings,
      WorkerPort port,
      Supplier<List<HostEntry>> workerHosts,
      ElectionPeers electionPeers,
      Policies policies,
      JobJournal journal,
      JobSpecCodec specCodec,
      LongSupplier clockMs,
      RandomGenerator random) {
    this.settings = settings;
    this.workerHosts = workerHosts;
    this.electionPeers = electionPeers;
    this.policies = policies;
    this.journal = journal;
    this.specCodec = specCodec;
    this.clockMs = clockMs;
    this.random = random;
    this.jitter = new Jitter(random);
    this.workers =
        new WorkerTable(settings, port, policies.workers(), clockMs, jitter, this::synced);
    this.executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "coordinator");
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Starts periodic election and scheduling. */
  public void start() {
    noCoordinatorSinceMs = clockMs.getAsLong();
    executor.scheduleWithFixedDelay(this::tickSafely, 0, settings.tickMs(), TimeUnit.MILLISECONDS);
  }

  /**
   * Stops: starts no more tasks, waits for start commands in flight and releases the ownership
   * leases, so that another host can take over without waiting for them to expire.
   */
  public void stop() {
    synchronized (lock) {
      stopping = true;
      endTerm("stops");
    }
    long deadlineMs = clockMs.getAsLong() + STOP_TIMEOUT_MS;
    while (!workers.agents().stream().allMatch(WorkerAgent::isReleased)
        && clockMs.getAsLong() < deadlineMs) {
      try {
        Thread.sleep(POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    executor.shutdownNow();
  }

  /**
   * Returns the cell of the current term.
   *
   * @return the cell, or empty if this host is not the coordinator
   */
  Optional<Cell> cell() {
    synchronized (lock) {
      return term == null ? Optional.empty() : Optional.ofNullable(term.cell());
    }
  }

  /**
   * Returns whether this host is the coordinator and currently has authority.
   *
   * @return true if this host may start tasks
   */
  public boolean isCoordinator() {
    return cell().isPresent() && clockMs.getAsLong() < authorityUntilMs.get();
  }

  /**
   * Returns the number of workers on which this host holds the ownership lease.
   *
   * @return number of workers
   */
  public int heldWorkers() {
    return (int) workers.agents().stream().filter(WorkerAgent::held).count();
  }

  /**
   * Returns the number of jobs that have not ended.
   *
   * @return number of jobs; 0 if this host is not the coordinator
   */
  public int openJobs() {
    return cell().map(Cell::openJobs).orElse(0);
  }

  /**
   * Returns the number of tasks waiting to be started.
   *
   * @return number of tasks; 0 if this host is not the coordinator
   */
  public int waitingTasks() {
    return cell().map(Cell::waitingTasks).orElse(0);
  }

  /**
   * Returns the number of tasks that are running or may be running.
   *
   * @return number of tasks; 0 if this host is not the coordinator
   */
  public int runningTasks() {
    return cell().map(Cell::runningTasks).orElse(0);
  }

  WorkerTable workers() {
    return workers;
  }

  private void tickSafely() {
    try {
      tick();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "coordinator: Periodic tick failed; retrying at the next one.");
    }
  }

  private void tick() {
    List<WorkerAgent> added = workers.update(workerHosts.get());
    workers.requestProfiles();
    long nowMs = clockMs.getAsLong();
    Cell cell;
    synchronized (lock) {
      refreshAuthority();
      stepElection(nowMs, added);
      cell = term == null ? null : term.cell();
    }
    if (cell != null) {
      reportLostWorkers(cell, nowMs);
      cell.tick(workers.agents().stream().map(WorkerAgent::workerId).toList());
    }
    workers.agents().forEach(WorkerAgent::step);
  }

  private void reportLostWorkers(Cell cell, long nowMs) {
    for (WorkerAgent agent : workers.agents()) {
      if (!agent.held() || agent.authorityUntilMs() <= nowMs) {
        cell.workerLost(agent.workerId());
      }
    }
  }

  private void refreshAuthority() {
    List<Long> until =
        workers.agents().stream()
            .filter(WorkerAgent::held)
            .map(WorkerAgent::authorityUntilMs)
            .toList();
    authorityUntilMs.set(DomainAuthority.untilMs(until, workers.size()));
  }

  private void stepElection(long nowMs, List<WorkerAgent> added) {
    if (stopping) {
      return;
    }
    boolean authority = nowMs < authorityUntilMs.get();
    if (term == null) {
      startCandidacyIfDue(nowMs);
    } else if (term.cell() == null) {
      advanceCandidacy(term, nowMs, authority);
    } else if (!authority) {
      endTerm("lost its leases on a majority of workers");
    } else {
      Cell cell = term.cell();
      added.forEach(agent -> acquire(agent, cell));
      if (nowMs > termStartMs + TERM_RETRY_MS && !journal.isTermCurrent()) {
        beginTerm(cell, nowMs);
      }
    }
  }

  private void startCandidacyIfDue(long nowMs) {
    if (electionPeers.coordinatorAlive() || workers.size() == 0) {
      noCoordinatorSinceMs = nowMs;
      return;
    }
    if (nowMs >= noCoordinatorSinceMs + electionPeers.rank() * settings.candidateStaggerMs()) {
      term = new Term(nowMs);
      workers.agents().forEach(agent -> agent.setOwnershipWanted(true, List::of));
    }
  }

  private void advanceCandidacy(Term candidate, long nowMs, boolean authority) {
    if (authority) {
      takeOver(candidate, nowMs);
    } else if (electionPeers.coordinatorAlive()
        || nowMs > candidate.candidateMs() + 2 * settings.ownershipLease().leaseMs()) {
      endTerm("withdrew its candidacy");
      noCoordinatorSinceMs = nowMs + jitter.upToMs(settings.ownershipLease().leaseMs());
    }
  }

  private void takeOver(Term candidate, long nowMs) {
    CellContext context =
        new CellContext(
            settings,
            policies.scheduler().get(),
            journal,
            specCodec,
            clockMs,
            authorityUntilMs::get,
            policies.settings(),
            workers::agent);
    String tag = Integer.toString(random.nextInt(TERM_TAG_BOUND), ID_RADIX);
    Cell cell = new Cell(context, tag);
    candidate.setCell(cell);
    beginTerm(cell, nowMs);
    logger.atInfo().log(
        "coordinator: Host %s became coordinator of domain %s, holding %d of %d workers.",
        settings.hostId(), settings.domain(), heldWorkers(), workers.size());
    workers.agents().forEach(agent -> acquire(agent, cell));
    candidate
        .drainFirstLists()
        .values()
        .forEach(
            first ->
                cell.synced(
                    first.agent(),
                    workers.profile(first.agent().workerId()),
                    first.sentMs(),
                    first.reply()));
  }

  /**
   * Records the start of the term in the log. This is repeated if a delayed entry of an earlier
   * term superseded it.
   */
  private void beginTerm(Cell cell, long nowMs) {
    termStartMs = nowMs;
    journal
        .beginTerm(settings.incarnation() + "." + Long.toString(nowMs, ID_RADIX))
        .thenAcceptAsync(cell::restore, executor);
  }

  private static void acquire(WorkerAgent agent, Cell cell) {
    agent.setOwnershipWanted(true, () -> cell.renewals(agent.workerId()));
  }

  private void endTerm(String why) {
    Term ended = term;
    term = null;
    if (ended == null) {
      return;
    }
    logger.atInfo().log("coordinator: Host %s %s.", settings.hostId(), why);
    workers.agents().forEach(agent -> agent.setOwnershipWanted(false, List::of));
    Cell cell = ended.cell();
    if (cell != null) {
      executor.execute(cell::close);
    }
    noCoordinatorSinceMs = clockMs.getAsLong();
  }

  /** Called by agents on the threads that complete worker calls. */
  private void synced(WorkerAgent agent, long sentMs, SyncReply reply) {
    Cell cell;
    synchronized (lock) {
      refreshAuthority();
      if (term == null) {
        return;
      }
      term.addFirstList(agent, sentMs, reply);
      cell = term.cell();
      if (cell == null) {
        stepElection(clockMs.getAsLong(), List.of());
        return;
      }
    }
    cell.synced(agent, workers.profile(agent.workerId()), sentMs, reply);
  }
}
