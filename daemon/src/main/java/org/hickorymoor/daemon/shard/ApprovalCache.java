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
 * Keeps the approvals of steps and asks for more. Which workers may run a step never changes, so a
 * worker that was denied is not asked about again. Belongs to the thread of the loop.
 */
final class ApprovalCache {

  /** Most workers to ask about in one call. */
  private static final int MAX_WORKERS_PER_CALL = 40;

  /** Approvals are not used this close to their end, since the order takes time to arrive. */
  private static final long TICKET_EXPIRY_MARGIN_MS = 300;

  /** Approvals for a step. */
  private static final class StepApprovals {
    private final Map<String, CachedTicket> tickets = new HashMap<>();
    private final Set<String> requestedWorkers = new HashSet<>();
    private boolean inFlight;
  }

  private record CachedTicket(String text, long endsNs) {}

  private final ShardEventLoop loop;
  private final ApprovalDispatcher dispatcher;
  private final Consumer<String> onDecided;
  private final Map<String, StepApprovals> steps = new HashMap<>();

  /**
   * Makes an empty book.
   *
   * @param onDecided told the job whose step has been decided about
   */
  ApprovalCache(ShardEventLoop loop, ApprovalDispatcher dispatcher, Consumer<String> onDecided) {
    this.loop = loop;
    this.dispatcher = dispatcher;
    this.onDecided = onDecided;
  }

  /** Returns what proves the approval of a worker for a step, or null if there is none in force. */
  @Nullable String ticket(String step, String workerId) {
    StepApprovals approvals = steps.get(step);
    CachedTicket ticket = approvals == null ? null : approvals.tickets.get(workerId);
    return ticket == null || loop.nowNs() - ticket.endsNs() >= 0 ? null : ticket.text();
  }

  /** Notes that a worker did not take a ticket, so that it is asked for again. */
  void expire(String step, String workerId) {
    StepApprovals approvals = steps.get(step);
    if (approvals != null) {
      approvals.tickets.computeIfPresent(
          workerId, (worker, ticket) -> new CachedTicket(ticket.text(), loop.nowNs()));
    }
  }

  /** Forgets the steps of a job. */
  void removeJob(String jobId) {
    String prefix = jobId + ".";
    steps.keySet().removeIf(step -> step.startsWith(prefix));
  }

  /** Asks for approvals of workers with room for the step, unless that is under way. */
  void request(
      Submission submission,
      StepProgress step,
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
            Urgency.of(submission, step, loop.nowMs()),
            Math.round(policy.decisionMs() + policy.perWorkerMs() * ids.size()),
            approved -> {
              approvals.inFlight = false;
              if (approved != null) {
                store(approvals, ids, approved, policy);
              }
              onDecided.accept(submission.jobId());
            }));
  }

  private List<String> candidates(
      StepApprovals approvals, StepProgress step, List<WorkerSession> schedulable) {
    TaskProgress sample =
        step.tasks().stream()
            .filter(slot -> slot.phase() == TaskProgress.Phase.IDLE)
            .findFirst()
            .orElse(step.tasks().get(0));
    List<WorkerSession> candidates = new ArrayList<>();
    for (WorkerSession session : schedulable) {
      String id = session.room().descriptor().id();
      CachedTicket ticket = approvals.tickets.get(id);
      boolean expired = ticket != null && loop.nowNs() - ticket.endsNs() >= 0;
      if ((expired || !approvals.requestedWorkers.contains(id)) && session.room().fits(sample, 0)) {
        candidates.add(session);
      }
    }
    candidates.sort(
        Comparator.comparingInt((WorkerSession session) -> -session.room().freeCpuMillis())
            .thenComparing(session -> session.room().descriptor().id()));
    return candidates.stream()
        .limit(MAX_WORKERS_PER_CALL)
        .map(session -> session.room().descriptor().id())
        .toList();
  }

  private void store(
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
