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
 * Becomes coordinator of a failure domain when nobody else is, and stays it while it can.
 *
 * <p>A coordinator holds more than half of the domain's workers by leases on the workers themselves
 * ({@code docs/design/ownership.md}). It needs neither the log nor the other entry hosts for that.
 *
 * <p>Safe for use by several threads.
 */
public final class Coordinator {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TAG_BOUND = 36 * 36 * 36 * 36;
  private static final int TAG_RADIX = 36;
  private static final long STOP_WAIT_MS = 5_000;
  private static final long POLL_MS = 20;
  private static final long BEGIN_AGAIN_MS = 1_000;

  private final CoordinatorSettings settings;
  private final Supplier<List<HostEntry>> workerHosts;
  private final Contenders contenders;
  private final Policies policies;
  private final JobJournal journal;
  private final RecordText records;
  private final LongSupplier clockMs;
  private final RandomGenerator random;
  private final Jitter jitter;
  private final WorkerTable workers;
  private final ScheduledExecutorService executor;
  private final AtomicLong authorityUntilMs = new AtomicLong(Long.MIN_VALUE);
  private final Object lock = new Object();
  private @Nullable Term term;
  private long quietSinceMs;
  private long termBegunMs;
  private boolean stopping;

  /**
   * How to decide.
   *
   * @param scheduler makes the scheduler of a term
   * @param settings settings of the policy in force
   * @param workers how workers are used
   */
  public record Policies(
      Supplier<CellScheduler> scheduler,
      Supplier<PolicySettings> settings,
      Supplier<WorkersConfig> workers) {}

  /**
   * Makes a coordinator that is not started.
   *
   * @param settings times and names
   * @param port talks to workers
   * @param workerHosts the workers of the failure domain, as the platform lists them
   * @param contenders the other entry hosts
   * @param policies makes the scheduler of a term, and says what is in force
   * @param journal keeps what must last
   * @param records writes and reads the record that tasks carry
   * @param clockMs monotonic time
   * @param random source of jitter
   */
  public Coordinator(
      CoordinatorSettings settings,
      WorkerPort port,
      Supplier<List<HostEntry>> workerHosts,
      Contenders contenders,
      Policies policies,
      JobJournal journal,
      RecordText records,
      LongSupplier clockMs,
      RandomGenerator random) {
    this.settings = settings;
    this.workerHosts = workerHosts;
    this.contenders = contenders;
    this.policies = policies;
    this.journal = journal;
    this.records = records;
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

  /** Starts looking after the domain. */
  public void start() {
    quietSinceMs = clockMs.getAsLong();
    executor.scheduleWithFixedDelay(this::safeTick, 0, settings.tickMs(), TimeUnit.MILLISECONDS);
  }

  /**
   * Hands the domain over: starts nothing more, waits for commands on their way, and gives the
   * workers back, so that another host can hold them at once.
   */
  public void stop() {
    synchronized (lock) {
      stopping = true;
      endTerm("stops");
    }
    long giveUpMs = clockMs.getAsLong() + STOP_WAIT_MS;
    while (!workers.agents().stream().allMatch(WorkerAgent::free)
        && clockMs.getAsLong() < giveUpMs) {
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
   * Returns the jobs of the domain while this host is its coordinator.
   *
   * @return the cell, or empty if another host is coordinator or none
   */
  Optional<Cell> cell() {
    synchronized (lock) {
      return term == null ? Optional.empty() : Optional.ofNullable(term.cell());
    }
  }

  /**
   * Tells whether this host is coordinator and has authority now.
   *
   * @return true if it may start tasks
   */
  public boolean coordinating() {
    return cell().isPresent() && clockMs.getAsLong() < authorityUntilMs.get();
  }

  /**
   * Returns how many workers this host holds.
   *
   * @return number of held workers
   */
  public int workersHeld() {
    return (int) workers.agents().stream().filter(WorkerAgent::held).count();
  }

  /**
   * Returns how many jobs of this host's term have not ended.
   *
   * @return number of jobs, 0 if this host is not coordinator
   */
  public int openJobs() {
    return cell().map(Cell::openJobs).orElse(0);
  }

  /**
   * Returns how many tasks of this host's term wait to be started.
   *
   * @return number of tasks, 0 if this host is not coordinator
   */
  public int waitingTasks() {
    return cell().map(Cell::waitingTasks).orElse(0);
  }

  /**
   * Returns how many tasks of this host's term run, as far as is known.
   *
   * @return number of tasks, 0 if this host is not coordinator
   */
  public int runningTasks() {
    return cell().map(Cell::runningTasks).orElse(0);
  }

  WorkerTable workers() {
    return workers;
  }

  private void safeTick() {
    try {
      tick();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("coordinator: Tick failed.");
    }
  }

  private void tick() {
    List<WorkerAgent> added = workers.update(workerHosts.get());
    workers.askProfiles();
    long nowMs = clockMs.getAsLong();
    Cell cell;
    synchronized (lock) {
      refreshAuthority();
      stepElection(nowMs, added);
      cell = term == null ? null : term.cell();
    }
    if (cell != null) {
      tellLost(cell, nowMs);
      cell.tick(workers.agents().stream().map(WorkerAgent::workerId).toList());
    }
    workers.agents().forEach(WorkerAgent::step);
  }

  private void tellLost(Cell cell, long nowMs) {
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
      considerCandidacy(nowMs);
    } else if (term.cell() == null) {
      stepCandidate(term, nowMs, authority);
    } else if (!authority) {
      endTerm("lost its majority of workers");
    } else {
      Cell cell = term.cell();
      added.forEach(agent -> want(agent, cell));
      if (nowMs > termBegunMs + BEGIN_AGAIN_MS && !journal.inForce()) {
        beginTerm(cell, nowMs);
      }
    }
  }

  private void considerCandidacy(long nowMs) {
    if (contenders.coordinatorAlive() || workers.size() == 0) {
      quietSinceMs = nowMs;
      return;
    }
    if (nowMs >= quietSinceMs + contenders.rank() * settings.candidateStaggerMs()) {
      term = new Term(nowMs);
      workers.agents().forEach(agent -> agent.want(true, List::of));
    }
  }

  private void stepCandidate(Term candidate, long nowMs, boolean authority) {
    if (authority) {
      takeOver(candidate, nowMs);
    } else if (contenders.coordinatorAlive()
        || nowMs > candidate.candidateMs() + 2 * settings.hold().leaseMs()) {
      endTerm("gave its candidacy up");
      quietSinceMs = nowMs + jitter.upToMs(settings.hold().leaseMs());
    }
  }

  private void takeOver(Term candidate, long nowMs) {
    CellContext context =
        new CellContext(
            settings,
            policies.scheduler().get(),
            journal,
            records,
            clockMs,
            authorityUntilMs::get,
            policies.settings(),
            workers::agent);
    String tag = Integer.toString(random.nextInt(TAG_BOUND), TAG_RADIX);
    Cell cell = new Cell(context, tag);
    candidate.open(cell);
    beginTerm(cell, nowMs);
    logger.atInfo().log(
        "coordinator: Host %s coordinates domain %s with %d of %d workers.",
        settings.hostId(), settings.domain(), workersHeld(), workers.size());
    workers.agents().forEach(agent -> want(agent, cell));
    candidate
        .takeFirstLists()
        .values()
        .forEach(
            first ->
                cell.synced(
                    first.agent(),
                    workers.profile(first.agent().workerId()),
                    first.sentMs(),
                    first.reply()));
  }

  /** Begins the term in the log, again if an entry of an earlier term came late. */
  private void beginTerm(Cell cell, long nowMs) {
    termBegunMs = nowMs;
    journal
        .beginTerm(settings.incarnation() + "." + Long.toString(nowMs, TAG_RADIX))
        .thenAcceptAsync(cell::restore, executor);
  }

  private static void want(WorkerAgent agent, Cell cell) {
    agent.want(true, () -> cell.renewals(agent.workerId()));
  }

  private void endTerm(String why) {
    Term ended = term;
    term = null;
    if (ended == null) {
      return;
    }
    logger.atInfo().log("coordinator: Host %s %s.", settings.hostId(), why);
    workers.agents().forEach(agent -> agent.want(false, List::of));
    Cell cell = ended.cell();
    if (cell != null) {
      executor.execute(cell::close);
    }
    quietSinceMs = clockMs.getAsLong();
  }

  /** Called by agents on the threads that bring answers. */
  private void synced(WorkerAgent agent, long sentMs, SyncReply reply) {
    Cell cell;
    synchronized (lock) {
      refreshAuthority();
      if (term == null) {
        return;
      }
      term.listed(agent, sentMs, reply);
      cell = term.cell();
      if (cell == null) {
        stepElection(clockMs.getAsLong(), List.of());
        return;
      }
    }
    cell.synced(agent, workers.profile(agent.workerId()), sentMs, reply);
  }
}
