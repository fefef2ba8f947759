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
  private static final int MAX_ADVISED = 40;

  /** Approvals are not used this close to their end, since the order takes time to arrive. */
  private static final long TICKET_MARGIN_MS = 300;

  /** Approvals for a step. */
  private static final class Known {
    private final Map<String, Ticket> tickets = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
    private boolean inFlight;
  }

  private record Ticket(String text, long endsNs) {}

  private final ShardEventLoop loop;
  private final ApprovalDispatcher desk;
  private final Consumer<String> onAnswer;
  private final Map<String, Known> steps = new HashMap<>();

  /**
   * Makes an empty book.
   *
   * @param onAnswer told the job whose step has been decided about
   */
  ApprovalCache(ShardEventLoop loop, ApprovalDispatcher desk, Consumer<String> onAnswer) {
    this.loop = loop;
    this.desk = desk;
    this.onAnswer = onAnswer;
  }

  /** Returns what proves the approval of a worker for a step, or null if there is none in force. */
  @Nullable String ticket(String step, String workerId) {
    Known known = steps.get(step);
    Ticket ticket = known == null ? null : known.tickets.get(workerId);
    return ticket == null || loop.nowNs() - ticket.endsNs() >= 0 ? null : ticket.text();
  }

  /** Notes that a worker did not take a ticket, so that it is asked for again. */
  void expire(String step, String workerId) {
    Known known = steps.get(step);
    if (known != null) {
      known.tickets.computeIfPresent(
          workerId, (worker, ticket) -> new Ticket(ticket.text(), loop.nowNs()));
    }
  }

  /** Forgets the steps of a job. */
  void forget(String jobId) {
    String prefix = jobId + ".";
    steps.keySet().removeIf(step -> step.startsWith(prefix));
  }

  /** Asks for approvals of workers with room for the step, unless that is under way. */
  void ask(
      Submission submission, StepProgress step, List<WorkerSession> usable, ApprovalPolicy policy) {
    Known known = steps.computeIfAbsent(step.name(), name -> new Known());
    if (known.inFlight) {
      return;
    }
    List<String> ids = wanted(known, step, usable);
    if (ids.isEmpty()) {
      return;
    }
    known.inFlight = true;
    desk.submit(
        new ApprovalDispatcher.Request(
            step.name(),
            ids,
            Urgency.of(submission, step, loop.nowMs()),
            Math.round(policy.decisionMs() + policy.perWorkerMs() * ids.size()),
            approved -> {
              known.inFlight = false;
              if (approved != null) {
                note(known, ids, approved, policy);
              }
              onAnswer.accept(submission.jobId());
            }));
  }

  private List<String> wanted(Known known, StepProgress step, List<WorkerSession> usable) {
    TaskProgress sample =
        step.tasks().stream()
            .filter(slot -> slot.phase() == TaskProgress.Phase.IDLE)
            .findFirst()
            .orElse(step.tasks().get(0));
    List<WorkerSession> wanted = new ArrayList<>();
    for (WorkerSession session : usable) {
      String id = session.room().descriptor().id();
      Ticket ticket = known.tickets.get(id);
      boolean ended = ticket != null && loop.nowNs() - ticket.endsNs() >= 0;
      if ((ended || !known.asked.contains(id)) && session.room().fits(sample, 0)) {
        wanted.add(session);
      }
    }
    wanted.sort(
        Comparator.comparingInt((WorkerSession session) -> -session.room().freeCpuMillis())
            .thenComparing(session -> session.room().descriptor().id()));
    return wanted.stream().limit(MAX_ADVISED).map(session -> session.room().descriptor().id()).toList();
  }

  private void note(Known known, List<String> asked, List<Approval> approved, ApprovalPolicy policy) {
    known.asked.addAll(asked);
    long usableMs = Math.round(policy.validityMs()) - TICKET_MARGIN_MS;
    long endsNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(usableMs);
    for (Approval approval : approved) {
      known.tickets.put(approval.workerId(), new Ticket(approval.ticket(), endsNs));
    }
  }
}
