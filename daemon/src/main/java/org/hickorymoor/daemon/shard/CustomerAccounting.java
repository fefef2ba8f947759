package org.hickorymoor.daemon.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.hickorymoor.daemon.peer.PlacementReport.Amounts;
import org.hickorymoor.daemon.peer.PlacementReport.CustomerStanding;
import org.hickorymoor.domain.customer.CustomerDirectory;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.customer.CustomerUsage;
import org.hickorymoor.domain.customer.DominantShares;
import org.hickorymoor.domain.customer.EffectivePolicies;
import org.hickorymoor.domain.customer.ResourceTotals;
import org.hickorymoor.domain.customer.SubmissionRate;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.jspecify.annotations.Nullable;

/**
 * Applies the limits and shares of customers to the jobs of a coordinator.
 *
 * <p>All state is rebuilt at a takeover: use and shares from the placements that are adopted, rates
 * from the times at which the open jobs were accepted. Jobs without a customer are not affected.
 * Not thread-safe; confined to the event loop thread.
 */
final class CustomerAccounting implements StartLimit, TaskListener {

  /** Rank of a customer within its share, and of jobs without a customer. */
  static final int WITHIN_SHARE = 0;

  /** Rank of a customer above its share. */
  static final int ABOVE_SHARE = 1;

  /** Rank of a job beyond its customer's rate. */
  static final int BEYOND_RATE = 2;

  /** Interval at which metrics are published and customers without work are removed. */
  private static final long PUBLISH_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

  private static final double MILLIONTHS = 1e6;

  private final ShardEventLoop loop;
  private final Supplier<@Nullable CustomerDirectory> directory;
  private final Supplier<Stream<WorkerDescriptor>> workers;
  private final EffectivePolicies policies = new EffectivePolicies();
  private final CustomerUsage usage = new CustomerUsage();
  private final DominantShares shares = new DominantShares();
  private final LimitHolds holds;
  private final CustomerMetrics metrics;
  private final Map<String, SubmissionRate> rates = new HashMap<>();
  private final Map<String, Integer> openJobs = new HashMap<>();
  private final Set<String> jobsBeyondRate = new HashSet<>();

  /** Jobs that no token has been asked for; ordered by time of acceptance at the next pass. */
  private final Set<ScheduledJob> unratedJobs = new LinkedHashSet<>();

  private long passBeganNs;
  private long publishedNs;

  /**
   * Creates the accounting of a coordinator that has no jobs yet.
   *
   * @param loop event loop of the shard
   * @param directory gives the newest customers; null before the first configuration
   * @param workers gives all workers that tasks may be placed on
   * @param metrics metrics of the shard
   */
  CustomerAccounting(
      ShardEventLoop loop,
      Supplier<@Nullable CustomerDirectory> directory,
      Supplier<Stream<WorkerDescriptor>> workers,
      ShardMetrics metrics) {
    this.loop = loop;
    this.directory = directory;
    this.workers = workers;
    this.holds = new LimitHolds(loop);
    this.metrics = new CustomerMetrics(metrics.registry());
    this.passBeganNs = loop.nowNs();
    this.publishedNs = loop.nowNs();
    policies.update(directory.get());
  }

  /** Begins a placement pass, with the newest configuration and the workers as they are now. */
  void beginPass() {
    passBeganNs = loop.nowNs();
    if (policies.update(directory.get())) {
      shares.updateWeights(
          (customer, weight) -> {
            CustomerPolicy policy = policies.find(customer);
            return policy == null ? weight : policy.weight();
          });
    }
    if (!hasCustomers()) {
      return;
    }
    Map<String, ResourceTotals> capacities = new HashMap<>();
    workers
        .get()
        .forEach(
            worker ->
                capacities.merge(
                    worker.service(),
                    new ResourceTotals(
                        worker.cpuMillis(), worker.memoryMb(), worker.accelerators()),
                    ResourceTotals::plus));
    shares.beginPass(capacities, passBeganNs);
    rateNewJobs();
  }

  private boolean hasCustomers() {
    return !shares.isEmpty() || !rates.isEmpty();
  }

  private void rateNewJobs() {
    if (!policies.isConfigured() || unratedJobs.isEmpty()) {
      return;
    }
    List<ScheduledJob> inOrder = new ArrayList<>(unratedJobs);
    inOrder.sort(Comparator.comparingLong(job -> job.submission().acceptedAtMs()));
    for (ScheduledJob job : inOrder) {
      CustomerPolicy stored = job.submission().customer();
      if (stored == null) {
        continue;
      }
      // A host whose clock is ahead must not move the bucket of the others' jobs into the future.
      long acceptedAtMs = Math.min(job.submission().acceptedAtMs(), loop.nowMs());
      boolean withinRate =
          rates
              .computeIfAbsent(stored.name(), absent -> new SubmissionRate())
              .tryAcquire(policies.of(stored).weight(), acceptedAtMs);
      if (!withinRate) {
        jobsBeyondRate.add(job.id());
      }
    }
    unratedJobs.clear();
  }

  /** Returns the rank of the customer of a job with a step that could start in this pass. */
  int shareRank(Submission submission) {
    CustomerPolicy stored = submission.customer();
    if (stored == null) {
      return WITHIN_SHARE;
    }
    CustomerPolicy policy = policies.of(stored);
    String service = submission.policy().service();
    shares.markReady(policy, service, passBeganNs);
    int rank =
        jobsBeyondRate.contains(submission.jobId())
            ? BEYOND_RATE
            : shares.isAboveShare(policy, service, passBeganNs) ? ABOVE_SHARE : WITHIN_SHARE;
    if (rank != WITHIN_SHARE) {
      metrics.stepAboveShare(stored.name());
    }
    return rank;
  }

  /**
   * Returns the rank that a job would have if it were accepted now. Counts nothing, so that jobs
   * which are refused leave no trace.
   */
  int rankIfAccepted(Submission submission) {
    CustomerPolicy stored = submission.customer();
    if (stored == null) {
      return WITHIN_SHARE;
    }
    CustomerPolicy policy = policies.of(stored);
    SubmissionRate rate = rates.get(stored.name());
    if (rate != null && !rate.hasToken(policy.weight(), loop.nowMs())) {
      return BEYOND_RATE;
    }
    return shares.isAboveShare(policy, submission.policy().service(), passBeganNs)
        ? ABOVE_SHARE
        : WITHIN_SHARE;
  }

  /** Returns the rank of the customer of an open job. Counts nothing. */
  int currentRank(Submission submission) {
    CustomerPolicy stored = submission.customer();
    if (stored == null) {
      return WITHIN_SHARE;
    }
    if (jobsBeyondRate.contains(submission.jobId())) {
      return BEYOND_RATE;
    }
    String service = submission.policy().service();
    return shares.isAboveShare(policies.of(stored), service, passBeganNs)
        ? ABOVE_SHARE
        : WITHIN_SHARE;
  }

  /** Returns how many tasks of a step the customer's limit permits now. Counts nothing. */
  int startsWithinLimit(CustomerPolicy stored, StepSpec step) {
    return policies.isConfigured() ? permittedStarts(policies.of(stored), step, step.count()) : 0;
  }

  /** Returns limit, use and share of the customer of a job that is accepted now. */
  CustomerStanding standing(CustomerPolicy stored, Submission submission) {
    CustomerPolicy policy = policies.of(stored);
    String service = submission.policy().service();
    ResourceTotals used = usage.used(policy.name());
    return new CustomerStanding(
        policy.name(),
        new Amounts(
            policy.limit().cpuMillis(), policy.limit().memoryMb(), policy.limit().accelerators()),
        new Amounts(used.cpuMillis(), used.memoryMb(), used.accelerators()),
        Math.round(MILLIONTHS * shares.averageShare(policy.name(), service, passBeganNs)),
        Math.round(MILLIONTHS * shares.entitledShare(policy, service)),
        rankIfAccepted(submission));
  }

  @Override
  public int permittedStarts(Submission submission, StepSpec step, int wanted) {
    CustomerPolicy stored = submission.customer();
    if (stored == null) {
      return wanted;
    }
    if (!policies.isConfigured()) {
      return 0;
    }
    CustomerPolicy policy = policies.of(stored);
    int permitted = permittedStarts(policy, step, wanted);
    if (permitted < wanted) {
      holds.stepHeld(policy, ResourceTotals.requestOf(step));
      metrics.stepHeld(stored.name());
    }
    return permitted;
  }

  private int permittedStarts(CustomerPolicy policy, StepSpec step, int wanted) {
    ResourceTotals demand = ResourceTotals.requestOf(step);
    if (!step.gang()) {
      return usage.permittedStarts(policy, demand, wanted);
    }
    return usage.permitsTogether(policy, demand, wanted) ? wanted : 0;
  }

  /** Ends a placement pass. */
  void endPass() {
    holds.endPass(policies.version(), usage::used);
    if (hasCustomers() && passBeganNs - publishedNs >= PUBLISH_INTERVAL_NS) {
      publishedNs = passBeganNs;
      metrics.publish(usage, customer -> shares.averageShare(customer, passBeganNs));
      removeIdleCustomers();
    }
    metrics.passEnded();
  }

  private void removeIdleCustomers() {
    shares.removeIdle(passBeganNs);
    rates
        .entrySet()
        .removeIf(
            entry -> {
              CustomerPolicy policy = policies.find(entry.getKey());
              return !openJobs.containsKey(entry.getKey())
                  && (policy == null || entry.getValue().isFull(policy.weight(), loop.nowMs()));
            });
    policies.retain(customer -> openJobs.containsKey(customer) || rates.containsKey(customer));
  }

  @Override
  public void onJobOpened(ScheduledJob job) {
    CustomerPolicy stored = job.submission().customer();
    if (stored != null) {
      openJobs.merge(stored.name(), 1, Integer::sum);
      unratedJobs.add(job);
      shares.markReady(policies.of(stored), job.submission().policy().service(), loop.nowNs());
    }
  }

  @Override
  public void onJobClosed(ScheduledJob job) {
    CustomerPolicy stored = job.submission().customer();
    if (stored != null) {
      openJobs.computeIfPresent(stored.name(), (name, jobs) -> jobs > 1 ? jobs - 1 : null);
      jobsBeyondRate.remove(job.id());
      unratedJobs.remove(job);
    }
  }

  @Override
  public void onTaskPlaced(ScheduledJob job, TaskProgress task) {
    CustomerPolicy stored = job.submission().customer();
    if (stored == null) {
      return;
    }
    ResourceTotals demand = ResourceTotals.requestOf(task.spec());
    if (usage.recordPlaced(stored.name(), task.id(), task.run(), demand)) {
      shares.add(
          policies.of(stored),
          job.submission().policy().service(),
          ResourceTotals.reservationOf(task.spec()),
          loop.nowNs());
    }
  }

  @Override
  public void onTaskReleased(ScheduledJob job, TaskProgress task) {
    CustomerPolicy stored = job.submission().customer();
    if (stored != null && usage.recordReleased(task.id(), task.run())) {
      shares.remove(
          policies.of(stored),
          job.submission().policy().service(),
          ResourceTotals.reservationOf(task.spec()),
          loop.nowNs());
    }
  }

  /** Removes the metrics, which only the coordinator has. */
  void close() {
    metrics.close();
  }
}
