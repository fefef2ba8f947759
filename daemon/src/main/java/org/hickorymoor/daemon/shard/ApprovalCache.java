package org.hickorymoor.daemon.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hickorymoor.daemon.port.ApprovalPort.Approval;
import org.hickorymoor.domain.workload.ApprovalPolicy;
import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * Caches the approvals of steps and requests missing ones. Which workers may run a step never
 * changes, so a worker that was denied is not requested again. Not thread-safe; confined to the
 * event loop thread.
 */
final class ApprovalCache {

  /** Maximum number of workers in one request. */
  private static final int MAX_WORKERS_PER_CALL = 40;

  /**
   * Time before the expiry of an approval from which it is no longer used, since a start request
   * takes time to arrive.
   */
  private static final long TICKET_EXPIRY_MARGIN_MS = 300;

  /**
   * Time after that in which a start is still sent with the approval, since storing the placement
   * takes time; what remains covers the way to the worker.
   */
  private static final long SEND_GRACE_MS = 100;

  /** The approvals of a step and the workers requested so far. */
  private static final class StepApprovals {
    private final Map<String, CachedTicket> tickets = new HashMap<>();
    private final Set<String> requestedWorkers = new HashSet<>();
    private boolean inFlight;
  }

  private record CachedTicket(String value, long endsNs) {}

  private final ShardEventLoop loop;
  private final ApprovalDispatcher dispatcher;
  private final Consumer<String> onCompleted;
  private final Map<String, StepApprovals> steps = new HashMap<>();

  /**
   * Creates an empty cache.
   *
   * @param onCompleted receives the job whose step a request has been completed for
   */
  ApprovalCache(ShardEventLoop loop, ApprovalDispatcher dispatcher, Consumer<String> onCompleted) {
    this.loop = loop;
    this.dispatcher = dispatcher;
    this.onCompleted = onCompleted;
  }

  /**
   * Returns the ticket with which a placed task of a step can be started on a worker, or null if
   * there is none that is valid for long enough.
   */
  @Nullable String ticketToSend(String step, String workerId) {
    StepApprovals approvals = steps.get(step);
    CachedTicket ticket = approvals == null ? null : approvals.tickets.get(workerId);
    return ticket == null
            || loop.nowNs() - ticket.endsNs() >= TimeUnit.MILLISECONDS.toNanos(SEND_GRACE_MS)
        ? null
        : ticket.value();
  }

  /** Returns the workers that may run a step according to a valid ticket. */
  List<String> approvedWorkers(String step) {
    StepApprovals approvals = steps.get(step);
    if (approvals == null) {
      return List.of();
    }
    long nowNs = loop.nowNs();
    return approvals.tickets.entrySet().stream()
        .filter(entry -> nowNs - entry.getValue().endsNs() < 0)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** Marks a ticket that a worker rejected as expired, so that another one is requested. */
  void expire(String step, String workerId) {
    StepApprovals approvals = steps.get(step);
    if (approvals != null) {
      approvals.tickets.computeIfPresent(
          workerId, (worker, ticket) -> new CachedTicket(ticket.value(), loop.nowNs()));
    }
  }

  /** Removes the approvals of all steps of a job. */
  void removeJob(String jobId) {
    String prefix = jobId + ".";
    steps.keySet().removeIf(step -> step.startsWith(prefix));
  }

  /** Requests approvals of workers with capacity for the step, unless a request is in flight. */
  void request(
      Submission submission,
      StepProgress step,
      Urgency urgency,
      List<WorkerSession> schedulable,
      ApprovalPolicy policy) {
    StepApprovals approvals = steps.computeIfAbsent(step.name(), name -> new StepApprovals());
    if (approvals.inFlight) {
      return;
    }
    List<String> ids = candidates(approvals, step, schedulable);
    if (ids.isEmpty()) {
      return;
    }
    approvals.inFlight = true;
    dispatcher.submit(
        new ApprovalDispatcher.Request(
            step.name(),
            ids,
            urgency,
            Math.round(policy.decisionMs() + policy.perWorkerMs() * ids.size()),
            approved -> {
              approvals.inFlight = false;
              if (approved != null) {
                storeApprovals(approvals, ids, approved, policy);
              }
              onCompleted.accept(submission.jobId());
            }));
  }

  private List<String> candidates(
      StepApprovals approvals, StepProgress step, List<WorkerSession> schedulable) {
    TaskProgress sample =
        step.tasks().stream()
            .filter(task -> task.phase() == TaskProgress.Phase.IDLE)
            .findFirst()
            .orElse(step.tasks().get(0));
    List<WorkerSession> candidates = new ArrayList<>();
    for (WorkerSession session : schedulable) {
      if (!session.allocation().fits(sample, 0)) {
        continue;
      }
      String id = session.allocation().descriptor().id();
      CachedTicket ticket = approvals.tickets.get(id);
      boolean expired = ticket != null && loop.nowNs() - ticket.endsNs() >= 0;
      if (expired || !approvals.requestedWorkers.contains(id)) {
        candidates.add(session);
      }
    }
    candidates.sort(
        Comparator.comparingInt((WorkerSession session) -> -session.allocation().freeCpuMillis())
            .thenComparing(session -> session.allocation().descriptor().id()));
    return candidates.stream()
        .limit(MAX_WORKERS_PER_CALL)
        .map(session -> session.allocation().descriptor().id())
        .toList();
  }

  private void storeApprovals(
      StepApprovals approvals,
      List<String> requestedWorkers,
      List<Approval> approved,
      ApprovalPolicy policy) {
    approvals.requestedWorkers.addAll(requestedWorkers);
    long validForMs = Math.round(policy.validityMs()) - TICKET_EXPIRY_MARGIN_MS;
    long endsNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(validForMs);
    for (Approval approval : approved) {
      approvals.tickets.put(approval.workerId(), new CachedTicket(approval.ticket(), endsNs));
    }
  }
}
