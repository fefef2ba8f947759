package org.hickorymoor.daemon.shard;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.LongSupplier;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.RunTimes;
import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskProgress;
import org.jspecify.annotations.Nullable;

/**
 * The work that the open jobs still need, by service, customer and priority.
 *
 * <p>Sums are updated with each placement and end of a task, so that a question costs no pass over
 * jobs. The work of a waiting task counts in full, that of a placed one by half, which is what it
 * has left on average. Long-running and best-effort tasks don't count: the former never drain, and
 * the latter reserve no processors.
 *
 * <p>Within a priority the nearest deadline goes first. Therefore only the work of jobs that must
 * complete within a similar or a shorter time delays a job; the times are compared by powers of
 * two.
 *
 * <p>Not thread-safe; confined to the event loop thread.
 */
final class AdmissionBacklog implements TaskListener {

  /** Whether the results of a job can still be useful. */
  private enum Usefulness {
    USEFUL,
    TOO_LATE,
    /** Too late for so long that its waiting work doesn't count any more. */
    FORGOTTEN
  }

  /** Work of the waiting and placed tasks of one open job. */
  private static final class Account {
    private final Submission submission;
    private final int bytes;
    private final long[] taskCoreMs;
    private final long[] stepsMs;
    private final int[] waitingTasks;
    private long usefulUntilMs;
    private int lastOccurrence = -1;
    private long waitingCoreMs;
    private long placedCoreMs;
    private int placedTasks;
    private boolean begun;
    private Usefulness usefulness = Usefulness.USEFUL;
    private long precedence;

    Account(Submission submission, int bytes, RunTimes runTimes) {
      this.submission = submission;
      this.bytes = bytes;
      List<StepSpec> steps = submission.spec().steps();
      taskCoreMs = new long[steps.size()];
      stepsMs = new long[steps.size()];
      waitingTasks = new int[steps.size()];
      for (int index = 0; index < taskCoreMs.length; index++) {
        stepsMs[index] = WorkEstimates.boundedMs(runTimes.expectedMs(submission, index));
        taskCoreMs[index] = WorkEstimates.taskCoreMs(steps.get(index), stepsMs[index]);
      }
    }

    long usefulCoreMs() {
      return (usefulness == Usefulness.USEFUL ? waitingCoreMs : 0) + placedCoreMs / 2;
    }

    long staleCoreMs() {
      return usefulness == Usefulness.TOO_LATE ? waitingCoreMs : 0;
    }

    @Nullable String customer() {
      CustomerPolicy policy = submission.customer();
      return policy == null ? null : policy.name();
    }

    boolean isQueued() {
      return !begun && placedTasks == 0;
    }
  }

  /** A Unix time at which a job may have become too late to be useful. */
  private record Expiry(long atMs, String jobId) {}

  /** The open jobs of one customer. */
  private static final class CustomerJobs {
    private CustomerPolicy policy;
    private int openJobs;
    private int queuedJobs;
    private long bytes;

    CustomerJobs(CustomerPolicy policy) {
      this.policy = policy;
    }
  }

  /**
   * How long the waiting work of a job that is too late counts; the longest delay of a refused job.
   * Tasks that fit on no worker would otherwise count for ever.
   */
  private static final long STALE_TTL_MS = 30_000;

  private static final int TIME_CLASSES = 64;

  /** Number of expiries from which on those of removed jobs are dropped. */
  static final int CLEANUP_SIZE = 1_000;

  private final RunTimes runTimes;
  private final LongSupplier nowMs;
  private final Map<String, Account> accounts = new HashMap<>();
  private final Map<String, ServiceBacklog> services = new HashMap<>();
  private final Map<String, CustomerJobs> customers = new HashMap<>();
  private final PriorityQueue<Expiry> expiries =
      new PriorityQueue<>(Comparator.comparingLong(Expiry::atMs));

  /**
   * Creates an empty backlog.
   *
   * @param runTimes expected run times of tasks
   * @param nowMs gives the Unix time
   */
  AdmissionBacklog(RunTimes runTimes, LongSupplier nowMs) {
    this.runTimes = runTimes;
    this.nowMs = nowMs;
  }

  /**
   * Adds an open job; all its tasks that have not succeeded count as waiting until they are
   * reported as placed. Has no effect for a job that was added before.
   *
   * @param progress the job
   * @param bytes size of its submission
   */
  void add(JobProgress progress, int bytes) {
    Submission submission = progress.submission();
    if (accounts.containsKey(submission.jobId())) {
      return;
    }
    Account account = new Account(submission, bytes, runTimes);
    accounts.put(submission.jobId(), account);
    CustomerPolicy policy = submission.customer();
    if (policy != null) {
      CustomerJobs jobs =
          customers.computeIfAbsent(policy.name(), name -> new CustomerJobs(policy));
      jobs.policy = policy;
      jobs.openJobs++;
      jobs.queuedJobs++;
      jobs.bytes += bytes;
    }
    long criticalPathMs = submission.spec().criticalPathMs(index -> account.stepsMs[index]);
    long addedMs = nowMs.getAsLong();
    long usefulMs = WorkEstimates.usefulWithinMs(submission, criticalPathMs, addedMs);
    account.precedence =
        precedence(
            submission.policy().priority(),
            WorkEstimates.usefulWindowMs(submission, criticalPathMs));
    addOccurrences(progress);
    if (submission.spec().repetitions() == 0 && usefulMs < Long.MAX_VALUE) {
      account.usefulUntilMs = addedMs + usefulMs;
      expiries.add(new Expiry(account.usefulUntilMs - criticalPathMs, submission.jobId()));
    }
  }

  /** Adds the occurrences of a job that have begun since the last call. */
  void addOccurrences(JobProgress progress) {
    Account account = accounts.get(progress.submission().jobId());
    if (account == null) {
      return;
    }
    for (Map.Entry<Integer, List<StepProgress>> entry :
        progress.occurrences().tailMap(account.lastOccurrence + 1).entrySet()) {
      account.lastOccurrence = entry.getKey();
      for (StepProgress step : entry.getValue()) {
        int done = step.count(TaskProgress.Phase.DONE);
        if (done > 0) {
          markBegun(account);
        }
        addWaiting(account, step.index(), step.tasks().size() - done);
      }
    }
  }

  /** Removes a job that has ended or was never stored; has no effect for an unknown one. */
  void remove(String jobId) {
    Account account = accounts.remove(jobId);
    if (account == null) {
      return;
    }
    CustomerPolicy policy = account.submission.customer();
    CustomerJobs jobs = policy == null ? null : customers.get(policy.name());
    if (policy != null && jobs != null) {
      jobs.queuedJobs -= account.isQueued() ? 1 : 0;
      jobs.bytes -= account.bytes;
      jobs.openJobs--;
      if (jobs.openJobs == 0) {
        customers.remove(policy.name());
      }
    }
    for (int step = 0; step < account.waitingTasks.length; step++) {
      countDemand(account, step, -account.waitingTasks[step]);
    }
    change(
        account,
        () -> {
          account.waitingCoreMs = 0;
          account.placedCoreMs = 0;
        });
    dropExpiriesOfRemovedJobs();
  }

  /**
   * Drops expiries that no longer matter, which may be due only hours after their jobs have ended.
   * At least every second one is dropped, so that the cost of a removal stays constant on average.
   */
  private void dropExpiriesOfRemovedJobs() {
    if (expiries.size() >= CLEANUP_SIZE && expiries.size() > 2 * accounts.size()) {
      expiries.removeIf(expiry -> !accounts.containsKey(expiry.jobId()));
    }
  }

  /** Returns the number of times at which jobs are checked for being too late. */
  int expiryCount() {
    return expiries.size();
  }

  @Override
  public void onTaskPlaced(ScheduledJob job, TaskProgress task) {
    expire();
    Account account = accounts.get(task.id().jobId());
    if (account != null) {
      service(account).recordStart(account.usefulness != Usefulness.USEFUL);
      boolean wasQueued = account.isQueued();
      account.placedTasks++;
      countQueued(account, wasQueued);
      addPlaced(account, task.id().step(), 1);
      addWaiting(account, task.id().step(), -1);
    }
  }

  @Override
  public void onTaskReleased(ScheduledJob job, TaskProgress task) {
    Account account = accounts.get(task.id().jobId());
    if (account != null) {
      if (task.phase() == TaskProgress.Phase.DONE) {
        markBegun(account);
      } else {
        addWaiting(account, task.id().step(), 1);
      }
      boolean wasQueued = account.isQueued();
      account.placedTasks--;
      countQueued(account, wasQueued);
      addPlaced(account, task.id().step(), -1);
    }
  }

  private void markBegun(Account account) {
    boolean wasQueued = account.isQueued();
    account.begun = true;
    countQueued(account, wasQueued);
  }

  private void countQueued(Account account, boolean wasQueued) {
    CustomerPolicy policy = account.submission.customer();
    CustomerJobs jobs = policy == null ? null : customers.get(policy.name());
    if (jobs != null && wasQueued != account.isQueued()) {
      jobs.queuedJobs += wasQueued ? -1 : 1;
    }
  }

  private void addWaiting(Account account, int step, int tasks) {
    change(account, () -> account.waitingCoreMs += tasks * account.taskCoreMs[step]);
    account.waitingTasks[step] += tasks;
    countDemand(account, step, tasks);
  }

  private void addPlaced(Account account, int step, int tasks) {
    change(account, () -> account.placedCoreMs += tasks * account.taskCoreMs[step]);
  }

  private void countDemand(Account account, int step, long tasks) {
    service(account).addWaiting(account.submission.spec().steps().get(step), tasks);
  }

  private ServiceBacklog service(Account account) {
    return services.computeIfAbsent(
        account.submission.policy().service(), name -> new ServiceBacklog());
  }

  /** Changes the work of a job and brings the sums up to date. */
  private void change(Account account, Runnable change) {
    long usefulBefore = account.usefulCoreMs();
    long staleBefore = account.staleCoreMs();
    change.run();
    service(account)
        .addWork(
            account.customer(),
            account.precedence,
            account.usefulCoreMs() - usefulBefore,
            account.staleCoreMs() - staleBefore);
  }

  /**
   * Finds the jobs whose results would come too late by now. A job that has begun may still
   * complete in time until then, since less than its critical path remains.
   */
  private void expire() {
    long atMs = nowMs.getAsLong();
    while (!expiries.isEmpty() && expiries.peek().atMs() <= atMs) {
      String jobId = expiries.remove().jobId();
      Account account = accounts.get(jobId);
      if (account == null) {
        continue;
      }
      if (account.usefulness == Usefulness.USEFUL
          && !account.isQueued()
          && atMs < account.usefulUntilMs) {
        expiries.add(new Expiry(account.usefulUntilMs, jobId));
        continue;
      }
      if (account.usefulness == Usefulness.USEFUL) {
        change(account, () -> account.usefulness = Usefulness.TOO_LATE);
        expiries.add(new Expiry(atMs + STALE_TTL_MS, jobId));
      } else {
        change(account, () -> account.usefulness = Usefulness.FORGOTTEN);
      }
    }
  }

  /**
   * Returns the place of jobs in the order of starts; smaller ones go first.
   *
   * @param priority priority of the queue; 0 is the highest
   * @param usefulWithinMs time within which the job must complete to be useful
   */
  static long precedence(int priority, long usefulWithinMs) {
    int timeClass = TIME_CLASSES - Long.numberOfLeadingZeros(Math.max(0, usefulWithinMs));
    return (long) priority * TIME_CLASSES + timeClass;
  }

  /** Returns the work of a customer's jobs up to a precedence on a service, in core-ms. */
  long customerCoreMs(String service, String customer, long precedence) {
    expire();
    ServiceBacklog work = services.get(service);
    return work == null ? 0 : work.customerCoreMs(customer, precedence);
  }

  /** Returns the work of all jobs up to a precedence on a service, in core-milliseconds. */
  long totalCoreMs(String service, long precedence) {
    expire();
    ServiceBacklog work = services.get(service);
    return work == null ? 0 : work.totalCoreMs(precedence);
  }

  /** Returns the names of the customers that have work on a service. */
  Set<String> customersWithWork(String service) {
    ServiceBacklog work = services.get(service);
    return work == null ? Set.of() : work.customers();
  }

  /** Returns the mean demand of the waiting tasks of a service, or null if none waits. */
  ServiceBacklog.@Nullable MeanDemand meanWaitingDemand(String service) {
    ServiceBacklog work = services.get(service);
    return work == null ? null : work.meanWaitingDemand();
  }

  /** Returns the number of a customer's jobs of which no task has been placed. */
  int queuedJobs(String customer) {
    CustomerJobs jobs = customers.get(customer);
    return jobs == null ? 0 : jobs.queuedJobs;
  }

  /** Returns the size of the submissions of a customer's open jobs. */
  long submissionBytes(String customer) {
    CustomerJobs jobs = customers.get(customer);
    return jobs == null ? 0 : jobs.bytes;
  }

  /** Returns the policy that a customer's newest open job was accepted with, or null. */
  @Nullable CustomerPolicy storedPolicy(String customer) {
    CustomerJobs jobs = customers.get(customer);
    return jobs == null ? null : jobs.policy;
  }

  /** Returns the submission of an open job, or null if there is none. */
  @Nullable Submission submission(String jobId) {
    Account account = accounts.get(jobId);
    return account == null ? null : account.submission;
  }

  /** Returns the size of the submission of an open job; 0 if there is none. */
  int bytes(String jobId) {
    Account account = accounts.get(jobId);
    return account == null ? 0 : account.bytes;
  }
}
