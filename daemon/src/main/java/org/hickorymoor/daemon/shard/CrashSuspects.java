package org.hickorymoor.daemon.shard;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.domain.workload.CrashEvidence;
import org.hickorymoor.domain.workload.TaskProgress;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which runs may be the cause if their worker has crashed, and lets tasks that have been
 * suspected before start alone. Not thread-safe; confined to the event loop thread.
 */
final class CrashSuspects {

  /** What first showed that a worker may have crashed. */
  enum Symptom {
    /** The worker closed its connections or refused new ones. */
    CONNECTION_CLOSED(true),
    /** A call timed out or its response was malformed. */
    NO_RESPONSE(false),
    /** The worker rejected a call as unhealthy. */
    UNHEALTHY(false),
    /** Another worker answered at its address. */
    REPLACED(true),
    /** It reported another start time. */
    RESTARTED(true);

    /** Whether the process had ended when the symptom showed, not only at some later time. */
    private final boolean ended;

    Symptom(boolean ended) {
      this.ended = ended;
    }
  }

  /** Covers the startup of the runs that are there and the next placement pass. */
  private static final long HOLD_MS = 2 * Placement.STARTUP_MS;

  private final ShardEventLoop loop;
  private final Map<String, Placement> placements;
  private final Set<Placement> suspects = new LinkedHashSet<>();

  /** The latest run whose task has been suspected before. */
  private @Nullable Placement isolated;

  /** The suspected task that waits until nothing else is starting here. */
  private @Nullable TaskProgress awaited;

  private long awaitedUntilNs;

  private Symptom symptom = Symptom.NO_RESPONSE;
  private long symptomNs;

  /**
   * Creates an empty set of suspects.
   *
   * @param placements the runs on the worker by task; changes as they start and end
   */
  CrashSuspects(ShardEventLoop loop, Map<String, Placement> placements) {
    this.loop = loop;
    this.placements = placements;
  }

  /** Notes a run that has just been placed. */
  void runPlaced(Placement placement) {
    if (placement.task.suspectedCrashes() > 0) {
      isolated = placement;
    }
  }

  /**
   * Returns whether a run may start beside those that are starting now. A task under which a worker
   * has crashed starts alone, so that another crash shows whether it is the cause.
   */
  boolean isStartable(TaskProgress task) {
    if (isHeld() && awaited != task) {
      return false;
    }
    if (isolated != null
        && placements.get(isolated.task.id().toString()) == isolated
        && mayBeStarting(isolated)) {
      return isSameGang(isolated, task);
    }
    return task.suspectedCrashes() == 0
        || placements.values().stream()
            .noneMatch(other -> mayBeStarting(other) && !isSameGang(other, task));
  }

  /** Lets nothing else start for a while, so that a suspected task can start alone. */
  void holdFor(TaskProgress task) {
    awaited = task;
    awaitedUntilNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(HOLD_MS);
  }

  /** Returns whether nothing but one suspected task may start. */
  boolean isHeld() {
    return awaited != null
        && awaited.phase() == TaskProgress.Phase.IDLE
        && loop.nowNs() - awaitedUntilNs < 0;
  }

  private boolean mayBeStarting(Placement placement) {
    return !placement.startSent || placement.isStarting(loop.nowNs());
  }

  private static boolean isSameGang(Placement placement, TaskProgress task) {
    return task.spec().gang() && placement.task.id().stepName().equals(task.id().stepName());
  }

  /**
   * Suspects the runs that are starting now, since the worker has stopped answering or has
   * restarted. An adopted run isn't suspected: as a rule it started long before.
   *
   * @param firstSymptom what shows this
   * @param reported tasks of which the worker has reported a run since
   */
  void suspectStartingRuns(Symptom firstSymptom, Set<String> reported) {
    symptom = firstSymptom;
    symptomNs = loop.nowNs();
    placements.forEach(
        (task, placement) -> {
          if (!placement.adopted
              && placement.isStarting(loop.nowNs())
              && !reported.contains(task)) {
            suspects.add(placement);
          }
        });
  }

  /**
   * Returns how strongly the crash of the worker speaks against a suspect. A start that may not
   * have arrived, and a run that may have been over when the process ended, say nothing about the
   * task.
   *
   * @param certain whether the worker's process has certainly ended
   */
  CrashEvidence evidence(Placement suspect, boolean certain) {
    if (suspect.startedNs == 0 && suspect.silentSinceStart) {
      return CrashEvidence.LIKELY;
    }
    if (suspect.startedNs == 0 || !symptom.ended) {
      return CrashEvidence.UNCERTAIN;
    }
    if (!certain) {
      return CrashEvidence.LIKELY;
    }
    return symptomNs - suspect.startedNs
            <= TimeUnit.MILLISECONDS.toNanos(Placement.IMMEDIATE_CRASH_MS)
        ? CrashEvidence.IMMEDIATE
        : CrashEvidence.DURING_STARTUP;
  }

  /** Acquits a run that certainly did not start. */
  void remove(Placement placement) {
    suspects.remove(placement);
  }

  /** Acquits all, since the worker has not crashed. */
  void clear() {
    suspects.clear();
  }

  /** Returns the suspects and forgets them. */
  List<Placement> drain() {
    List<Placement> drained = new ArrayList<>(suspects);
    suspects.clear();
    return drained;
  }

  /** Returns what first showed that the worker may have crashed. */
  Symptom symptom() {
    return symptom;
  }

  /** Returns the time since the first symptom. */
  long symptomAgeMs() {
    return TimeUnit.NANOSECONDS.toMillis(loop.nowNs() - symptomNs);
  }

  boolean isEmpty() {
    return suspects.isEmpty();
  }

  int size() {
    return suspects.size();
  }
}
