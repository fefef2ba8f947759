package org.hickorymoor.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.policy.Admission;
import org.hickorymoor.domain.policy.CellScheduler;
import org.hickorymoor.domain.policy.Decision;
import org.hickorymoor.domain.policy.TaskEnd;
import org.hickorymoor.domain.policy.UsageReport;
import org.hickorymoor.domain.policy.WorkerProfile;

/**
 * Places tasks in order of arrival on a random worker with enough free resources, regardless of the
 * job class.
 *
 * <p>A baseline for benchmarks only: tasks that end are never restarted, whatever the outcome.
 */
final class RandomFitScheduler implements CellScheduler {

  private static final TaskEnd NOT_STARTED_END = new TaskEnd(TaskEnd.Outcome.NOT_STARTED, 0);

  private record QueuedJob(JobSpec spec, List<TaskId> tasks) {}

  private record Placement(String workerId, Resources demand) {}

  private final Map<String, QueuedJob> queue = new LinkedHashMap<>();
  private final Map<TaskId, Placement> placements = new HashMap<>();
  private final Map<String, Resources> freeByWorker = new LinkedHashMap<>();
  private final Map<String, Resources> capacityByWorker = new HashMap<>();
  private final SplittableRandom random;

  RandomFitScheduler(SplittableRandom random) {
    this.random = random;
  }

  @Override
  public Admission admit(JobSpec spec, long nowMs) {
    return Admission.ACCEPTED;
  }

  @Override
  public void submit(String jobId, JobSpec spec, Collection<TaskId> tasks, long nowMs) {
    queue.put(jobId, new QueuedJob(spec, new ArrayList<>(tasks)));
  }

  @Override
  public void cancel(String jobId) {
    queue.remove(jobId);
  }

  @Override
  public void workerAvailable(WorkerProfile profile, long nowMs) {
    capacityByWorker.put(profile.workerId(), profile.capacity());
    freeByWorker.put(profile.workerId(), profile.capacity());
  }

  @Override
  public void workerLost(String workerId) {
    freeByWorker.remove(workerId);
  }

  @Override
  public void taskRecovered(TaskId task, JobSpec spec, String workerId, long nowMs) {
    place(task, spec, workerId);
  }

  @Override
  public void taskEnded(TaskId task, TaskEnd end, long nowMs) {
    Placement placement = placements.remove(task);
    if (placement != null) {
      freeByWorker.computeIfPresent(
          placement.workerId, (id, amount) -> amount.plus(placement.demand));
    }
  }

  @Override
  public void usageReported(String workerId, UsageReport report, long nowMs) {
    // Ignored: placement relies on declared demand only.
  }

  @Override
  public List<Decision> decide(long nowMs) {
    List<Decision> decisions = new ArrayList<>();
    for (QueuedJob job : queue.values()) {
      startTasks(job, decisions);
    }
    queue.values().removeIf(job -> job.tasks.isEmpty());
    return decisions;
  }

  @Override
  public List<String> explain(String jobId, long nowMs) {
    return List.of();
  }

  @Override
  public Resources learnedCapacity(String workerId) {
    return capacityByWorker.getOrDefault(workerId, Resources.NONE);
  }

  private void startTasks(QueuedJob job, List<Decision> decisions) {
    ArrayDeque<Decision.Start> starts = new ArrayDeque<>();
    for (TaskId task : job.tasks) {
      List<String> candidates = workersThatFit(job.spec.demand());
      if (candidates.isEmpty()) {
        break;
      }
      String workerId = candidates.get(random.nextInt(candidates.size()));
      place(task, job.spec, workerId);
      starts.add(new Decision.Start(task, workerId));
    }
    boolean allPlaced = starts.size() == job.tasks.size();
    if (job.spec.kind() == JobKind.ALL_AT_ONCE && !allPlaced) {
      starts.forEach(start -> taskEnded(start.task(), NOT_STARTED_END, 0));
      return;
    }
    starts.forEach(start -> job.tasks.remove(start.task()));
    decisions.addAll(starts);
  }

  private List<String> workersThatFit(Resources demand) {
    List<String> workers = new ArrayList<>();
    freeByWorker.forEach(
        (workerId, amount) -> {
          if (demand.fitsIn(amount)) {
            workers.add(workerId);
          }
        });
    return workers;
  }

  private void place(TaskId task, JobSpec spec, String workerId) {
    placements.put(task, new Placement(workerId, spec.demand()));
    freeByWorker.computeIfPresent(workerId, (id, amount) -> amount.minus(spec.demand()));
  }
}
