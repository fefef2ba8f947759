package org.hickorymoor.daemon.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SortedMap;
import java.util.TreeMap;
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
 * has left on average. Waiting work of jobs whose results would come too late doesn't count, since
 * it goes behind all other work. Long-running and best-effort tasks don't count: the former never
 * drain, and the latter reserve no processors. Not thread-safe; confined to the event loop thread.
 */
final class AdmissionBacklog implements TaskListener {

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
    private boolean tooLate;

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

    long counted() {
      return (tooLate ? 0 : waitingCoreMs) + placedCoreMs / 2;
    }

    boolean isQueued() {
      return !begun && placedTasks == 0;
    }
  }

  /** A Unix time at which a job may have become too late to be useful. */
  private record Expiry(long atMs, String jobId) {}

  /** Work by priority. */
  private static final class WorkByPriority {
    private final SortedMap<Integer, Long> coreMs = new TreeMap<>();

    void add(int priority, long delta) {
      coreMs.merge(priority, delta, Long::sum);
      coreMs.remove(priority, 0L);
    }

    long upTo(int priority) {
      long sum = 0;
      for (Map.Entry<Integer, Long> entry : coreMs.entrySet()) {
        if (entry.getKey() > priority) {
          break;
        }
        sum += entry.getValue();
      }
      return sum;
    }
  }

  /** The open jobs of one service. */
  private static final class ServiceWork {
    private final WorkByPriority total = new WorkByPriority();
    private final Map<String, WorkByPriority> byCustomer = new HashMap<>();
    private long waitingTasks;
    private long waitingCpuMillis;
    private long waitingMemoryMb;
    private long waitingAccelerators;
  }

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
   * Mean resource requests of the waiting tasks of a service.
   *
   * @param cpuMillis thousandths of a core
   * @param memoryMb memory
   * @param accelerators number of accelerators
   */
  record MeanDemand(long cpuMillis, long memoryMb, long accelerators) {}

  private final RunTimes runTimes;
  private final Map<String, Account> accounts = new HashMap<>();
  private final Map<String, ServiceWork> services = new HashMap<>();
  private final Map<String, CustomerJobs> customers = new HashMap<>();
  private final PriorityQueue<Expiry> expiries =
      new PriorityQueue<>(Comparator.comparingLong(Expiry::atMs));

  /**
   * Creates an empty backlog.
   *
   * @param runTimes expected run times of tasks
   */
  AdmissionBacklog(RunTimes runTimes) {
    this.runTimes = runTimes;
  }

  /**
   * Adds an open job; all its tasks that have not succeeded count as waiting until they are
   * reported as placed. Has no effect for a job that was added before.
   *
   * @param progress the job
   * @param bytes size of its submission
   * @param nowMs Unix time
   */
  void add(JobProgress progress, int bytes, long nowMs) {
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
    addOccurrences(progress);
    long criticalPathMs = submission.spec().criticalPathMs(index -> account.stepsMs[index]);
    long usefulMs = WorkEstimates.usefulWithinMs(submission, criticalPathMs, nowMs);
    if (submission.spec().repetitions() == 0 && usefulMs < Long.MAX_VALUE) {
      account.usefulUntilMs = nowMs + usefulMs;
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
    long counted = account.counted();
    account.waitingCoreMs = 0;
    account.placedCoreMs = 0;
    countWork(account, counted);
  }

  @Override
  public void onTaskPlaced(ScheduledJob job, TaskProgress task) {
    Account account = accounts.get(task.id().jobId());
    if (account != null) {
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
    long counted = account.counted();
    account.waitingCoreMs += tasks * account.taskCoreMs[step];
    countWork(account, counted);
    account.waitingTasks[step] += tasks;
    countDemand(account, step, tasks);
  }

  private void addPlaced(Account account, int step, int tasks) {
    long counted = account.counted();
    account.placedCoreMs += tasks * account.taskCoreMs[step];
    countWork(account, counted);
  }

  private void countDemand(Account account, int step, long tasks) {
    ServiceWork work = service(account);
    StepSpec spec = account.submission.spec().steps().get(step);
    work.waitingTasks += tasks;
    work.waitingCpuMillis += tasks * spec.reservedCpuMillis();
    work.waitingMemoryMb += tasks * spec.memoryMb();
    work.waitingAccelerators += tasks * spec.accelerators();
  }

  private ServiceWork service(Account account) {
    return services.computeIfAbsent(
        account.submission.policy().service(), name -> new ServiceWork());
  }

  /** Brings the sums up to date after the work of a job has changed. */
  private void countWork(Account account, long countedBefore) {
    long delta = account.counted() - countedBefore;
    if (delta == 0) {
      return;
    }
    ServiceWork work = service(account);
    int priority = account.submission.policy().priority();
    work.total.add(priority, delta);
    CustomerPolicy policy = account.submission.customer();
    if (policy != null) {
      WorkByPriority own =
          work.byCustomer.computeIfAbsent(policy.name(), name -> new WorkByPriority());
      own.add(priority, delta);
      if (own.coreMs.isEmpty()) {
        work.byCustomer.remove(policy.name());
      }
    }
  }

  /**
   * Leaves out the waiting work of jobs whose results would come too late. A job that has begun may
   * still complete in time until then, since less than its critical path remains.
   */
  void expire(long nowMs) {
    while (!expiries.isEmpty() && expiries.peek().atMs() <= nowMs) {
      String jobId = expiries.remove().jobId();
      Account account = accounts.get(jobId);
      if (account == null) {
        continue;
      }
      if (!account.isQueued() && nowMs < account.usefulUntilMs) {
        expiries.add(new Expiry(account.usefulUntilMs, jobId));
        continue;
      }
      long counted = account.counted();
      account.tooLate = true;
      countWork(account, counted);
    }
  }

  /** Returns the work of a customer on a service in jobs of at least a priority, in core-ms. */
  long customerCoreMs(String service, String customer, int priority) {
    ServiceWork work = services.get(service);
    WorkByPriority own = work == null ? null : work.byCustomer.get(customer);
    return own == null ? 0 : own.upTo(priority);
  }

  /** Returns the work of all jobs of at least a priority on a service, in core-milliseconds. */
  long totalCoreMs(String service, int priority) {
    ServiceWork work = services.get(service);
    return work == null ? 0 : work.total.upTo(priority);
  }

  /** Returns the names of the customers that have work on a service. */
  List<String> customersWithWork(String service) {
    ServiceWork work = services.get(service);
    return work == null ? List.of() : new ArrayList<>(work.byCustomer.keySet());
  }

  /** Returns the mean demand of the waiting tasks of a service, or null if none waits. */
  @Nullable MeanDemand meanWaitingDemand(String service) {
    ServiceWork work = services.get(service);
    if (work == null || work.waitingTasks <= 0) {
      return null;
    }
    return new MeanDemand(
        work.waitingCpuMillis / work.waitingTasks,
        work.waitingMemoryMb / work.waitingTasks,
        Math.round((double) work.waitingAccelerators / work.waitingTasks));
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
