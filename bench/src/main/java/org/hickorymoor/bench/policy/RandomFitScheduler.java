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
 * Starts work in order of arrival on a random worker that holds it, whatever its class.
 *
 * <p>A baseline for benchmarks only: nothing is repeated.
 */
final class RandomFitScheduler implements CellScheduler {

  private static final TaskEnd NEVER_RAN = new TaskEnd(TaskEnd.Outcome.NOT_STARTED, 0);

  private record Waiting(JobSpec spec, List<TaskId> tasks) {}

  private record Placed(String workerId, Resources demand) {}

  private final Map<String, Waiting> queue = new LinkedHashMap<>();
  private final Map<TaskId, Placed> running = new HashMap<>();
  private final Map<String, Resources> free = new LinkedHashMap<>();
  private final Map<String, Resources> capacity = new HashMap<>();
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
    queue.put(jobId, new Waiting(spec, new ArrayList<>(tasks)));
  }

  @Override
  public void cancel(String jobId) {
    queue.remove(jobId);
  }

  @Override
  public void workerAvailable(WorkerProfile profile, long nowMs) {
    capacity.put(profile.workerId(), profile.capacity());
    free.put(profile.workerId(), profile.capacity());
  }

  @Override
  public void workerLost(String workerId) {
    free.remove(workerId);
  }

  @Override
  public void taskRecovered(TaskId task, JobSpec spec, String workerId, long nowMs) {
    place(task, spec, workerId);
  }

  @Override
  public void taskEnded(TaskId task, TaskEnd end, long nowMs) {
    Placed placed = running.remove(task);
    if (placed != null) {
      free.computeIfPresent(placed.workerId, (id, amount) -> amount.plus(placed.demand));
    }
  }

  @Override
  public void usageReported(String workerId, UsageReport report, long nowMs) {
    // What is declared is trusted, so reports change nothing.
  }

  @Override
  public List<Decision> decide(long nowMs) {
    List<Decision> decisions = new ArrayList<>();
    for (Waiting waiting : queue.values()) {
      start(waiting, decisions);
    }
    queue.values().removeIf(waiting -> waiting.tasks.isEmpty());
    return decisions;
  }

  @Override
  public List<String> explain(String jobId, long nowMs) {
    return List.of();
  }

  @Override
  public Resources learnedCapacity(String workerId) {
    return capacity.getOrDefault(workerId, Resources.NONE);
  }

  private void start(Waiting waiting, List<Decision> decisions) {
    ArrayDeque<Decision.Start> starts = new ArrayDeque<>();
    for (TaskId task : waiting.tasks) {
      List<String> fitting = fitting(waiting.spec.demand());
      if (fitting.isEmpty()) {
        break;
      }
      String workerId = fitting.get(random.nextInt(fitting.size()));
      place(task, waiting.spec, workerId);
      starts.add(new Decision.Start(task, workerId));
    }
    boolean whole = starts.size() == waiting.tasks.size();
    if (waiting.spec.kind() == JobKind.ALL_AT_ONCE && !whole) {
      starts.forEach(start -> taskEnded(start.task(), NEVER_RAN, 0));
      return;
    }
    starts.forEach(start -> waiting.tasks.remove(start.task()));
    decisions.addAll(starts);
  }

  private List<String> fitting(Resources demand) {
    List<String> workers = new ArrayList<>();
    free.forEach(
        (workerId, amount) -> {
          if (demand.fitsIn(amount)) {
            workers.add(workerId);
          }
        });
    return workers;
  }

  private void place(TaskId task, JobSpec spec, String workerId) {
    running.put(task, new Placed(workerId, spec.demand()));
    free.computeIfPresent(workerId, (id, amount) -> amount.minus(spec.demand()));
  }
}
