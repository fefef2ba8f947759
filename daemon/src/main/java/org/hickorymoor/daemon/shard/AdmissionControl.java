package org.hickorymoor.daemon.shard;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;
import org.hickorymoor.daemon.peer.PeerReply.AdmissionReply;
import org.hickorymoor.daemon.peer.PeerRequest.AdmitSubmission;
import org.hickorymoor.domain.customer.AdmissionPolicy;
import org.hickorymoor.domain.customer.AdmissionPolicy.Decision;
import org.hickorymoor.domain.customer.AdmissionPolicy.Load;
import org.hickorymoor.domain.customer.CustomerDirectory;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.UrgentHeadroom;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.jspecify.annotations.Nullable;

/**
 * Answers, at the coordinator, whether a job of a customer is accepted.
 *
 * <p>A refusal must be true: a job that may be stored already is never refused, nor is any job
 * while this host doesn't know all open jobs. Not thread-safe; confined to the event loop thread.
 */
final class AdmissionControl {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Workers and hosts report to a new coordinator within this time. */
  static final long GRACE_MS = 3_000;

  /**
   * How long an announced job is admitted again although its record has not been read. An append
   * that a host has given up on may take effect later than that host's announcement expires.
   */
  private static final long ANNOUNCED_TTL_MS = 30_000;

  /** Bounds the memory for announced jobs: 30 s of three times the peak rate. */
  private static final int MAX_ANNOUNCED = 150_000;

  /** A pass over the workers of a large cell takes tens of microseconds. */
  private static final long SERVICE_VIEW_TTL_MS = 20;

  private static final long LOG_INTERVAL_MS = 1_000;

  /** Bounds the memory for the times of log lines. */
  private static final int MAX_LOGGED_CUSTOMERS = 1_000;

  /** Middle of the range from which the jitter of the time to retry is drawn. */
  private static final double MEAN_JITTER = 0.5;

  private static final int TOP_PRIORITY = 0;
  private static final int LOWER_PRIORITY = 1;

  private static final double MILLIS_PER_CORE = 1_000;

  private static final long NS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

  /** Stands for the steps of a job of which only the sums are known. */
  private static final StepSpec UNKNOWN_STEP =
      new StepSpec(
          1, 0, 0, 0, 0, List.of(), false, false, false, null, null, 0, false, false, "", 0, false,
          0);

  /** What the answers need to know of the coordinator's state. */
  interface Cell {

    /** Returns the workers that take new runs. */
    Stream<WorkerAllocation> schedulableWorkers();

    /** Returns whether a job is open, has ended or is cancelled. */
    boolean isKnown(String jobId);

    /** Returns whether all submissions were read recently. */
    boolean hasFreshSubmissions();

    /** Returns the time since the oldest of the last reads of the submission partitions. */
    long submissionsAgeMs();
  }

  /**
   * Capacity and competition of a service at one moment.
   *
   * @param readNs when it was determined
   * @param capacityCores processor capacity of the workers
   * @param roomFree whether a waiting task of mean demand fits on a worker
   * @param urgentRoomFree the same for the highest priority, which may use reserved headroom
   * @param weightSum sum of the weights of the customers that have work
   */
  private record ServiceView(
      long readNs,
      double capacityCores,
      boolean roomFree,
      boolean urgentRoomFree,
      double weightSum) {}

  private final ShardEventLoop loop;
  private final AdmissionBacklog backlog;
  private final Cell cell;
  private final Supplier<@Nullable CustomerDirectory> customers;
  private final ToIntFunction<Submission> shareRank;
  private final Map<String, ServiceView> views = new HashMap<>();
  private final LinkedHashMap<String, Long> announcedNs = new LinkedHashMap<>();
  private final Map<String, Long> loggedNs = new HashMap<>();
  private boolean started;
  private long startedNs;

  /**
   * Creates a control that admits every job until {@link #start}.
   *
   * @param loop event loop of the host
   * @param backlog the open jobs
   * @param cell the coordinator's state
   * @param customers gives the customers of the newest configuration, null before the first one
   * @param shareRank gives the rank of a job by its customer's share and rate; it is also applied
   *     to jobs that are not accepted yet and must not count these
   */
  AdmissionControl(
      ShardEventLoop loop,
      AdmissionBacklog backlog,
      Cell cell,
      Supplier<@Nullable CustomerDirectory> customers,
      ToIntFunction<Submission> shareRank) {
    this.loop = loop;
    this.backlog = backlog;
    this.cell = cell;
    this.customers = customers;
    this.shareRank = shareRank;
  }

  /** Begins to refuse jobs after the grace time; called when the takeover is complete. */
  void start() {
    started = true;
    startedNs = loop.nowNs();
  }

  /** Records that a job has been announced and may be stored from now on. */
  void onAnnounced(String jobId) {
    long nowNs = loop.nowNs();
    announcedNs.remove(jobId);
    announcedNs.put(jobId, nowNs);
    var oldest = announcedNs.entrySet().iterator();
    while (oldest.hasNext()
        && (nowNs - oldest.next().getValue() > ANNOUNCED_TTL_MS * NS_PER_MS
            || announcedNs.size() > MAX_ANNOUNCED)) {
      oldest.remove();
    }
  }

  private boolean isKnown(String jobId) {
    Long announced = announcedNs.get(jobId);
    return cell.isKnown(jobId)
        || (announced != null && loop.nowNs() - announced <= ANNOUNCED_TTL_MS * NS_PER_MS);
  }

  private boolean mayRefuse() {
    return started
        && loop.nowNs() - startedNs >= GRACE_MS * NS_PER_MS
        && cell.hasFreshSubmissions();
  }

  /** Returns whether hosts must ask about further jobs of the customer of an open job. */
  boolean isUnderPressure(String jobId) {
    Submission submission = backlog.submission(jobId);
    CustomerPolicy customer = submission == null ? null : submission.customer();
    if (submission == null || customer == null || !mayRefuse()) {
      return false;
    }
    WorkloadSpec spec = submission.spec();
    long criticalPathMs = WorkEstimates.declaredCriticalPathMs(spec);
    long usefulWithinMs = WorkEstimates.usefulWithinMs(submission, criticalPathMs, loop.nowMs());
    QueuePolicy queue = submission.policy();
    return AdmissionPolicy.isUnderPressure(
        new AdmissionPolicy.Job(
            shareRank.applyAsInt(submission),
            WorkEstimates.declaredCoreMs(spec),
            criticalPathMs,
            usefulWithinMs,
            backlog.bytes(jobId)),
        load(
            customer.name(),
            queue.service(),
            queue.priority(),
            WorkEstimates.usefulWindowMs(submission, criticalPathMs)));
  }

  /** Decides about a job that a host is about to accept. */
  AdmissionReply decide(AdmitSubmission request) {
    if (!mayRefuse() || isKnown(request.jobId())) {
      return new AdmissionReply(true, 0, "");
    }
    AdmissionPolicy.Job job = job(request);
    Load load = load(request);
    Decision decision = AdmissionPolicy.decide(job, load, loop.random().nextDouble());
    if (!decision.admitted()) {
      logRefusal(request, job, load, decision);
    }
    return reply(decision);
  }

  /** Decides as {@link #decide} would, without a log line and with the mean time to retry. */
  AdmissionReply preview(AdmitSubmission request) {
    return mayRefuse()
        ? reply(AdmissionPolicy.decide(job(request), load(request), MEAN_JITTER))
        : new AdmissionReply(true, 0, "");
  }

  private static AdmissionReply reply(Decision decision) {
    return new AdmissionReply(decision.admitted(), decision.retryAfterMs(), decision.reason());
  }

  private AdmissionPolicy.Job job(AdmitSubmission request) {
    return new AdmissionPolicy.Job(
        shareRank.applyAsInt(unacceptedJob(request)),
        Math.max(0, request.coreMs()),
        Math.max(0, request.criticalPathMs()),
        request.usefulWithinMs(),
        Math.max(0, request.bytes()));
  }

  private Submission unacceptedJob(AdmitSubmission request) {
    return new Submission(
        request.jobId(),
        loop.nowMs(),
        new QueuePolicy(request.queue(), request.service(), request.priority(), 1, 1, 0, null),
        new WorkloadSpec("", List.of(UNKNOWN_STEP), 0, 0, 0),
        policyOf(request.customer()));
  }

  private @Nullable CustomerPolicy policyOf(String customer) {
    CustomerDirectory directory = customers.get();
    CustomerPolicy configured = directory == null ? null : directory.find(customer);
    return configured == null ? backlog.storedPolicy(customer) : configured;
  }

  private double weightOf(String customer) {
    CustomerPolicy policy = policyOf(customer);
    return policy == null ? 1 : policy.weight();
  }

  private Load load(AdmitSubmission request) {
    return load(
        request.customer(), request.service(), request.priority(), request.usefulWithinMs());
  }

  private Load load(String customer, String service, int priority, long usefulWithinMs) {
    long precedence = AdmissionBacklog.precedence(priority, usefulWithinMs);
    ServiceView view = view(service);
    double weight = weightOf(customer);
    return new Load(
        backlog.customerCoreMs(service, customer, precedence),
        backlog.totalCoreMs(service, precedence),
        weight / Math.max(weight, view.weightSum()),
        view.capacityCores(),
        priority == TOP_PRIORITY ? view.urgentRoomFree() : view.roomFree(),
        backlog.queuedJobs(customer),
        backlog.submissionBytes(customer));
  }

  private ServiceView view(String service) {
    ServiceView known = views.get(service);
    if (known != null && loop.nowNs() - known.readNs() < SERVICE_VIEW_TTL_MS * NS_PER_MS) {
      return known;
    }
    ServiceBacklog.MeanDemand demand = backlog.meanWaitingDemand(service);
    List<WorkerAllocation> workers =
        cell.schedulableWorkers()
            .filter(worker -> worker.descriptor().service().equals(service))
            .toList();
    final boolean keepsHeadroom = UrgentHeadroom.isKept(workers);
    long cpuMillis = 0;
    boolean roomFree = demand == null;
    boolean urgentRoomFree = demand == null;
    for (WorkerAllocation worker : workers) {
      cpuMillis += worker.descriptor().cpuMillis();
      if (demand != null) {
        int keepFree = keepsHeadroom ? UrgentHeadroom.headroom(LOWER_PRIORITY, worker) : 0;
        roomFree |= fits(demand, worker, keepFree);
        urgentRoomFree |= fits(demand, worker, UrgentHeadroom.headroom(TOP_PRIORITY, worker));
      }
    }
    double weightSum =
        backlog.customersWithWork(service).stream().mapToDouble(this::weightOf).sum();
    ServiceView view =
        new ServiceView(
            loop.nowNs(), cpuMillis / MILLIS_PER_CORE, roomFree, urgentRoomFree, weightSum);
    views.put(service, view);
    return view;
  }

  private static boolean fits(
      ServiceBacklog.MeanDemand demand, WorkerAllocation worker, long keepFreeCpuMillis) {
    WorkerDescriptor descriptor = worker.descriptor();
    return worker.freeCpuMillis() - keepFreeCpuMillis >= demand.cpuMillis()
        && worker.freeMemoryMb() >= demand.memoryMb()
        && worker.freeAccelerators() >= demand.accelerators()
        && !descriptor.draining();
  }

  /** Logs the first refusal of a customer in each second, with all that it rests on. */
  private void logRefusal(
      AdmitSubmission request, AdmissionPolicy.Job job, Load load, Decision decision) {
    long nowNs = loop.nowNs();
    Long lastNs = loggedNs.get(request.customer());
    if (lastNs != null && nowNs - lastNs < LOG_INTERVAL_MS * NS_PER_MS) {
      return;
    }
    if (loggedNs.size() >= MAX_LOGGED_CUSTOMERS) {
      loggedNs.clear();
    }
    loggedNs.put(request.customer(), nowNs);
    CustomerDirectory directory = customers.get();
    logger.atInfo().log(
        "admission: Job %s of customer %s is refused, retry after %d ms: %s. Rank %d, needs"
            + " %d core-ms, path %d ms; backlog %d of %d core-ms before priority %d and %d ms;"
            + " share %.4f of %.1f cores of"
            + " service %s, determined %d ms ago; submissions read %d ms ago; configuration %d.",
        request.jobId(),
        request.customer(),
        decision.retryAfterMs(),
        decision.reason(),
        job.shareRank(),
        job.coreMs(),
        job.criticalPathMs(),
        load.customerCoreMs(),
        load.totalCoreMs(),
        request.priority(),
        request.usefulWithinMs(),
        load.entitledShare(),
        load.capacityCores(),
        request.service(),
        (nowNs - view(request.service()).readNs()) / NS_PER_MS,
        cell.submissionsAgeMs(),
        directory == null ? -1 : directory.version());
  }
}
