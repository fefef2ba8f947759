package org.hickorymoor.daemon.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.hickorymoor.daemon.peer.ByteBuffers;
import org.hickorymoor.daemon.peer.PeerErrorType;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerReply.AdmissionReply;
import org.hickorymoor.daemon.peer.PeerRequest.PreviewPlacement;
import org.hickorymoor.daemon.peer.PlacementReport;
import org.hickorymoor.daemon.peer.PlacementReport.Basis;
import org.hickorymoor.daemon.peer.PlacementReport.CostPart;
import org.hickorymoor.daemon.peer.PlacementReport.StepFit;
import org.hickorymoor.daemon.peer.PlacementReport.StepTime;
import org.hickorymoor.daemon.peer.PlacementReport.Timing;
import org.hickorymoor.daemon.peer.PlacementReport.Unfit;
import org.hickorymoor.daemon.peer.PlacementReport.WorkerCost;
import org.hickorymoor.domain.customer.CustomerDirectory;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.customer.GangLimit;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.Urgency;
import org.hickorymoor.domain.workload.UrgentHeadroom;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.jspecify.annotations.Nullable;

/**
 * Explains, at the coordinator, where a job would be placed now.
 *
 * <p>Reads what the placement pass decides by and changes none of it: the job is not accepted, and
 * nothing is placed, stored or counted. Not thread-safe; confined to the event loop thread.
 */
final class PlacementPreview {

  /** Workers that are listed with their costs. */
  private static final int BEST_WORKERS = 5;

  private static final double THOUSANDTHS = 1_000;

  /** Why no task fits a worker now; the first that applies counts. */
  enum Obstacle {
    DRAINING,
    UNHEALTHY,
    /** The worker doesn't answer, hasn't reported yet or isn't listed. */
    SILENT,
    LABEL,
    /** The worker is kept free for another task. */
    RESERVED,
    ACCELERATORS,
    MEMORY,
    PROCESSORS
  }

  /**
   * A worker of the job's service.
   *
   * @param allocation what is reserved there
   * @param schedulable whether new runs may be placed on it
   * @param held whether it is kept free for another task
   */
  record Candidate(WorkerAllocation allocation, boolean schedulable, boolean held) {}

  private final ShardEventLoop loop;
  private final long epoch;
  private final AdmissionControl.Cell cell;
  private final Collection<WorkerSession> sessions;
  private final Collection<ScheduledJob> pendingJobs;
  private final CustomerAccounting customers;
  private final Supplier<@Nullable CustomerDirectory> directory;
  private final LearnedRunTimes runTimes;
  private final StepPlacer placer;
  private final AdmissionControl admission;

  /**
   * Creates a preview.
   *
   * @param loop event loop of the host
   * @param epoch epoch of the coordinator
   * @param cell the coordinator's state
   * @param sessions view of the sessions of all workers
   * @param pendingJobs view of the jobs that may have ready steps
   * @param customers limits and shares
   * @param directory gives the customers of the newest configuration, null before the first one
   * @param runTimes expected run times
   * @param placer chooses the workers
   * @param admission decides which jobs are accepted
   */
  PlacementPreview(
      ShardEventLoop loop,
      long epoch,
      AdmissionControl.Cell cell,
      Collection<WorkerSession> sessions,
      Collection<ScheduledJob> pendingJobs,
      CustomerAccounting customers,
      Supplier<@Nullable CustomerDirectory> directory,
      LearnedRunTimes runTimes,
      StepPlacer placer,
      AdmissionControl admission) {
    this.loop = loop;
    this.epoch = epoch;
    this.cell = cell;
    this.sessions = sessions;
    this.pendingJobs = pendingJobs;
    this.customers = customers;
    this.directory = directory;
    this.runTimes = runTimes;
    this.placer = placer;
    this.admission = admission;
  }

  /** Answers a request. */
  PeerReply answer(PreviewPlacement request) {
    try {
      Submission received =
          WorkloadCodec.decodeSubmission(ByteBuffers.copyRemaining(request.submission()));
      return new PeerReply.PlacementReply(report(received, request.customer()));
    } catch (MalformedRecordException e) {
      return new PeerReply.Refused(
          PeerErrorType.BAD_REQUEST, "expected a job, got " + e.getMessage());
    }
  }

  private PlacementReport report(Submission received, @Nullable String customerName) {
    CustomerDirectory newest = directory.get();
    CustomerPolicy customer = received.customer();
    if (customerName != null && newest != null) {
      customer = newest.find(customerName);
    }
    Submission submission =
        new Submission(
            received.jobId(), loop.nowMs(), received.policy(), received.spec(), customer);
    JobProgress progress = new JobProgress(submission);
    final List<StepProgress> steps = progress.steps(0);
    List<StepFit> fits = new ArrayList<>();
    if (submission.spec().dueMs(0) <= loop.nowMs()) {
      for (StepProgress step : steps) {
        if (step.spec().dependencies().isEmpty()) {
          fits.add(fit(new ScheduledJob(progress, false), step));
        }
      }
    }
    Urgency urgency = urgency(submission, steps.get(0));
    return new PlacementReport(
        new Basis(epoch, newest == null ? -1 : newest.version(), cell.submissionsAgeMs()),
        refusals(submission, customerName),
        notes(submission, newest),
        customer == null ? null : customers.standing(customer, submission),
        timing(submission, urgency),
        stepsBefore(submission.policy().service(), urgency),
        fits);
  }

  private Urgency urgency(Submission submission, StepProgress first) {
    return Urgency.of(
        submission, first, loop.nowMs(), runTimes::previewMs, customers.rankIfAccepted(submission));
  }

  private List<String> refusals(Submission submission, @Nullable String customerName) {
    List<String> refusals = new ArrayList<>();
    CustomerPolicy customer = submission.customer();
    if (customer == null) {
      if (customerName != null) {
        refusals.add("unknown customer " + customerName + ", the rest is for a job without one");
      }
      return refusals;
    }
    String gang = GangLimit.refusalReason(submission);
    if (gang != null) {
      refusals.add(gang);
    }
    AdmissionReply reply =
        admission.preview(AdmissionGate.question(submission, customer.name(), loop.nowMs()));
    if (!reply.admitted()) {
      refusals.add(reply.reason() + "; retry after " + reply.retryAfterMs() + " ms");
    }
    return refusals;
  }

  private List<String> notes(Submission submission, @Nullable CustomerDirectory newest) {
    List<String> notes = new ArrayList<>();
    WorkloadSpec spec = submission.spec();
    if (submission.policy().approval() != null) {
      notes.add("the queue needs approvals, which were not asked for");
    }
    if (submission.customer() != null && newest == null) {
      notes.add("the coordinator has no configuration, jobs of customers wait for it");
    }
    if (spec.dueMs(0) > loop.nowMs()) {
      notes.add("the first occurrence is due in " + (spec.dueMs(0) - loop.nowMs()) + " ms");
    }
    return notes;
  }

  private Timing timing(Submission submission, Urgency urgency) {
    List<StepTime> times = new ArrayList<>();
    List<StepSpec> steps = submission.spec().steps();
    for (int index = 0; index < steps.size(); index++) {
      long expectedMs = runTimes.previewMs(submission, index);
      times.add(new StepTime(index, expectedMs, steps.get(index).estimatedMs()));
    }
    long criticalPathMs = submission.spec().criticalPathMs(index -> times.get(index).expectedMs());
    return new Timing(
        times,
        criticalPathMs,
        submission.policy().objectiveMs(criticalPathMs),
        lowerCaseName(urgency.timeliness()));
  }

  /** Returns the number of ready steps of a service that a pass would take before a new one. */
  private int stepsBefore(String service, Urgency urgency) {
    int before = 0;
    for (ScheduledJob job : pendingJobs) {
      Submission other = job.submission();
      if (!other.policy().service().equals(service)) {
        continue;
      }
      int rank = customers.currentRank(other);
      for (StepProgress step : job.progress.readySteps()) {
        // A step of the same urgency goes first, since its job was accepted earlier.
        if (Urgency.of(other, step, loop.nowMs(), runTimes, rank).compareTo(urgency) <= 0) {
          before++;
        }
      }
    }
    return before;
  }

  private StepFit fit(ScheduledJob job, StepProgress step) {
    Submission submission = job.submission();
    ReadyStep next = new ReadyStep(job, step, urgency(submission, step));
    List<Candidate> candidates =
        sessions.stream()
            .filter(
                session ->
                    session
                        .allocation()
                        .descriptor()
                        .service()
                        .equals(submission.policy().service()))
            .map(
                session ->
                    new Candidate(
                        session.allocation(),
                        session.isSchedulable(),
                        placer.isHeldForOthers(next, session)))
            .toList();
    CustomerPolicy customer = submission.customer();
    int permitted =
        customer == null ? step.spec().count() : customers.startsWithinLimit(customer, step.spec());
    return fit(step, submission.policy(), permitted, candidates);
  }

  /**
   * Returns which workers a task of a step fits.
   *
   * @param step the step, with idle tasks only
   * @param policy policy of the job's queue
   * @param permitted tasks that the customer's limit permits
   * @param candidates the workers of the queue's service
   */
  static StepFit fit(
      StepProgress step, QueuePolicy policy, int permitted, List<Candidate> candidates) {
    TaskProgress task = step.tasks().get(0);
    ToIntFunction<WorkerAllocation> keepFreeCpuMillis =
        keepFreeCpuMillis(task, policy.priority(), candidates);
    Map<Obstacle, Integer> obstacles = new EnumMap<>(Obstacle.class);
    List<WorkerAllocation> fitting = new ArrayList<>();
    int fitEmpty = 0;
    for (Candidate candidate : candidates) {
      if (candidate.schedulable() && candidate.allocation().fitsEmpty(task.spec())) {
        fitEmpty++;
      }
      Obstacle obstacle = obstacle(candidate, task, keepFreeCpuMillis);
      if (obstacle == null) {
        fitting.add(candidate.allocation());
      } else {
        obstacles.merge(obstacle, 1, Integer::sum);
      }
    }
    fitting.sort(Comparator.comparingDouble(allocation -> allocation.cost(task, null)));
    return new StepFit(
        step.index(),
        step.tasks().size(),
        permitted,
        candidates.size(),
        fitting.size(),
        fitEmpty,
        obstacles.entrySet().stream()
            .map(entry -> new Unfit(lowerCaseName(entry.getKey()), entry.getValue()))
            .toList(),
        fitting.stream().limit(BEST_WORKERS).map(best -> workerCost(best, task)).toList());
  }

  /** Returns what must remain free beside a task on each worker, as for {@link StepPlacer}. */
  private static ToIntFunction<WorkerAllocation> keepFreeCpuMillis(
      TaskProgress task, int priority, List<Candidate> candidates) {
    ToIntFunction<WorkerAllocation> headroom =
        allocation -> UrgentHeadroom.headroom(priority, allocation);
    if (candidates.stream().anyMatch(candidate -> obstacle(candidate, task, headroom) == null)) {
      return headroom;
    }
    List<WorkerAllocation> schedulable =
        candidates.stream().filter(Candidate::schedulable).map(Candidate::allocation).toList();
    return UrgentHeadroom.isWaivedFor(task.spec(), schedulable)
        ? allocation -> 0
        : allocation -> UrgentHeadroom.keepFreeCpuMillis(priority, task.spec(), allocation);
  }

  private static @Nullable Obstacle obstacle(
      Candidate candidate, TaskProgress task, ToIntFunction<WorkerAllocation> keepFreeCpuMillis) {
    WorkerAllocation allocation = candidate.allocation();
    if (allocation.descriptor().draining()) {
      return Obstacle.DRAINING;
    }
    if (allocation.isUnhealthy()) {
      return Obstacle.UNHEALTHY;
    }
    if (!candidate.schedulable()) {
      return Obstacle.SILENT;
    }
    StepSpec spec = task.spec();
    String label = spec.requiredLabel();
    if (label != null && !allocation.descriptor().labels().contains(label)) {
      return Obstacle.LABEL;
    }
    if (allocation.fits(task, keepFreeCpuMillis.applyAsInt(allocation))) {
      return candidate.held() ? Obstacle.RESERVED : null;
    }
    if (allocation.freeAccelerators() < spec.accelerators()) {
      return Obstacle.ACCELERATORS;
    }
    return allocation.freeMemoryMb() < spec.memoryMb() ? Obstacle.MEMORY : Obstacle.PROCESSORS;
  }

  private static WorkerCost workerCost(WorkerAllocation allocation, TaskProgress task) {
    List<CostPart> parts = new ArrayList<>();
    allocation
        .costParts(task, null)
        .forEach(
            (name, cost) -> {
              if (cost != 0) {
                parts.add(new CostPart(name, Math.round(cost * THOUSANDTHS)));
              }
            });
    return new WorkerCost(
        allocation.descriptor().id(),
        allocation.descriptor().rack(),
        Math.round(allocation.cost(task, null) * THOUSANDTHS),
        parts);
  }

  private static String lowerCaseName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
