package org.hickorymoor.daemon.coordinator;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerErrorType;
import org.hickorymoor.daemon.peer.PeerHandler;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.daemon.peer.WorkerStatus;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.policy.WorkerProfile;
import org.jspecify.annotations.Nullable;

/**
 * Serves job and worker requests while this host is the coordinator, and refuses them otherwise.
 *
 * <p>Thread-safe.
 */
public final class CellHandler implements PeerHandler {

  private final Coordinator coordinator;

  /**
   * Creates a handler.
   *
   * @param coordinator coordinator whose jobs and workers are served
   */
  public CellHandler(Coordinator coordinator) {
    this.coordinator = coordinator;
  }

  @Override
  public CompletableFuture<PeerReply> handle(PeerRequest request) {
    Optional<Cell> cell = coordinator.cell();
    if (cell.isEmpty() || !coordinator.isCoordinator()) {
      return refused(PeerErrorType.NOT_COORDINATOR, "this host is not the coordinator");
    }
    return answer(cell.get(), request).exceptionally(CellHandler::termEnded);
  }

  private CompletableFuture<PeerReply> answer(Cell cell, PeerRequest request) {
    if (request instanceof PeerRequest.SubmitJob submit) {
      return cell.submit(submit.jobId(), submit.spec(), submit.waitMs())
          .thenApply(PeerReply.JobReply::new);
    }
    if (request instanceof PeerRequest.GetJob get) {
      return cell.get(get.request(), get.waitMs())
          .map(answer -> answer.<PeerReply>thenApply(PeerReply.JobReply::new))
          .orElseGet(() -> completedFuture(new PeerReply.UnknownJob(get.request())));
    }
    if (request instanceof PeerRequest.CancelJob cancel) {
      return cell.cancel(cancel.request())
          .map(answer -> answer.<PeerReply>thenApply(PeerReply.JobReply::new))
          .orElseGet(() -> completedFuture(new PeerReply.UnknownJob(cancel.request())));
    }
    return completedFuture(answerNow(cell, request));
  }

  private PeerReply answerNow(Cell cell, PeerRequest request) {
    if (request instanceof PeerRequest.ListJobs list) {
      return new PeerReply.JobListReply(cell.list(list.team(), list.limit()));
    }
    if (request instanceof PeerRequest.ExplainJob explain) {
      return cell.explain(explain.request())
          .<PeerReply>map(PeerReply.ExplainReply::new)
          .orElseGet(() -> new PeerReply.UnknownJob(explain.request()));
    }
    if (request instanceof PeerRequest.ListWorkers) {
      return new PeerReply.WorkerListReply(workers(cell));
    }
    return new PeerReply.Refused(
        PeerErrorType.BAD_REQUEST, "a coordinator does not answer " + request);
  }

  private List<WorkerStatus> workers(Cell cell) {
    return coordinator.workers().agents().stream().map(agent -> status(cell, agent)).toList();
  }

  private WorkerStatus status(Cell cell, WorkerAgent agent) {
    String workerId = agent.workerId();
    WorkerProfile profile = coordinator.workers().profile(workerId);
    Resources declared = profile == null ? Resources.NONE : profile.capacity();
    return new WorkerStatus(
        workerId,
        profile == null ? "" : profile.rack(),
        agent.address(),
        state(agent, profile),
        declared,
        cell.learnedCapacity(workerId),
        cell.inUse(workerId),
        cell.tasksOn(workerId));
  }

  private static String state(WorkerAgent agent, @Nullable WorkerProfile profile) {
    if (!agent.held()) {
      return "unreachable";
    }
    return profile != null && profile.leaving() ? "leaving" : "live";
  }

  private static PeerReply termEnded(Throwable failure) {
    if (WorkerAgent.unwrap(failure) instanceof TermEndedException e) {
      return new PeerReply.Refused(PeerErrorType.STOPPING, String.valueOf(e.getMessage()));
    }
    return new PeerReply.Refused(PeerErrorType.INTERNAL, String.valueOf(failure));
  }

  private static CompletableFuture<PeerReply> refused(PeerErrorType type, String message) {
    return completedFuture(new PeerReply.Refused(type, message));
  }
}
