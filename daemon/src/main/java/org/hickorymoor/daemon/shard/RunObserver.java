package org.hickorymoor.daemon.shard;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.domain.runtime.RunLocation;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkerDescriptor;

/**
 * Tells from which runs something can be learned of run times, and for how long they ran.
 *
 * <p>Nothing is learned from failed runs, best-effort runs, which are throttled, resumed runs,
 * which do a part of the work, long-running ones, runs that an earlier coordinator has started, as
 * it isn't known when, and runs that ended while their worker could not report it. A gang runs from
 * the start of its last member and counts as one run. Not thread-safe; confined to the event loop
 * thread.
 */
final class RunObserver implements TaskListener {

  private record GangKey(String step, int run) {}

  /** Members of a gang that have started. */
  private static final class GangStart {
    private int started;
    private long lastStartNs;
    private boolean measurable = true;
  }

  private final ShardEventLoop loop;
  private final LearnedRunTimes runTimes;
  private final Map<GangKey, GangStart> gangs = new HashMap<>();

  RunObserver(ShardEventLoop loop, LearnedRunTimes runTimes) {
    this.loop = loop;
    this.runTimes = runTimes;
  }

  /** Returns what the run time depends on of the place of a run. */
  static RunLocation location(Placement placement) {
    WorkerDescriptor worker = placement.allocation().descriptor();
    TreeSet<String> kind = new TreeSet<>(worker.labels());
    kind.remove(worker.rack());
    String dataRack = placement.task().spec().dataRack();
    return new RunLocation(
        String.join(",", kind), dataRack != null && !dataRack.equals(worker.rack()));
  }

  /** Returns whether a run has done all of its task's work within a known time. */
  static boolean hasKnownTime(Placement placement) {
    return placement.startedNs() != 0
        && !placement.adopted
        && !placement.resumed
        && !placement.endNoticedLate;
  }

  private static boolean isMeasurable(Placement placement) {
    StepSpec spec = placement.task().spec();
    return hasKnownTime(placement) && !spec.bestEffort() && !spec.longRunning();
  }

  private static GangKey gangKey(TaskProgress task, int run) {
    return new GangKey(task.id().stepName(), run);
  }

  @Override
  public void onRunStarted(ScheduledJob job, Placement placement) {
    if (placement.task().spec().gang()) {
      GangStart gang =
          gangs.computeIfAbsent(
              gangKey(placement.task(), placement.run()), unused -> new GangStart());
      gang.started++;
      gang.lastStartNs = loop.nowNs();
      gang.measurable &= isMeasurable(placement);
    }
  }

  @Override
  public void onJobClosed(ScheduledJob job) {
    runTimes.jobClosed(job.id());
  }

  @Override
  public void onTaskReleased(ScheduledJob job, TaskProgress task) {
    if (task.spec().gang()) {
      gangs.remove(gangKey(task, task.run()));
    }
  }

  @Override
  public void onRunEnded(ScheduledJob job, Placement placement, TerminationReason reason) {
    long startedNs = workStartedNs(placement);
    if (startedNs == 0) {
      return;
    }
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - startedNs);
    switch (reason) {
      case DONE -> runTimes.learnFinished(job.submission(), placement, elapsedMs);
      case STOPPED, LAPSED, BROKEN ->
          runTimes.learnCutShort(job.submission(), placement, elapsedMs);
      default -> {}
    }
  }

  @Override
  public void onRunLost(ScheduledJob job, Placement placement, long silentMs) {
    long startedNs = workStartedNs(placement);
    if (startedNs == 0 || silentMs <= 0) {
      // A worker that answers again after a restart doesn't tell when the run was lost.
      return;
    }
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - startedNs) - silentMs;
    if (elapsedMs > 0) {
      runTimes.learnCutShort(job.submission(), placement, elapsedMs);
    }
  }

  /** Returns since when a run has done its work, or 0 if nothing can be learned from it. */
  private long workStartedNs(Placement placement) {
    if (!isMeasurable(placement)) {
      return 0;
    }
    if (!placement.task().spec().gang()) {
      return placement.startedNs();
    }
    GangStart gang = gangs.remove(gangKey(placement.task(), placement.run()));
    if (gang == null || !gang.measurable || gang.started != placement.task().spec().count()) {
      return 0;
    }
    return gang.lastStartNs;
  }
}
