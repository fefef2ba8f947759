package org.hickorymoor.domain.policy;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.jspecify.annotations.Nullable;

/**
 * Queues of waiting jobs, by class, then by the dominant share of the team, then by arrival.
 *
 * <p>Finding the next job costs time by the number of open lanes, not of jobs or teams. Removing a
 * job takes constant time but for the order of the teams.
 */
final class FairQueue {

  private final Map<JobClass, Map<NeedBucket, Lane>> lanes = new EnumMap<>(JobClass.class);
  private final Map<JobClass, Set<Lane>> openLanes = new EnumMap<>(JobClass.class);
  private final Map<JobClass, Set<QueuedJob>> arrivals = new EnumMap<>(JobClass.class);
  private final Set<Lane> blockedLanes = new LinkedHashSet<>();
  private final Map<String, TeamState> teams = new HashMap<>();
  private PolicySettings settings;
  private Resources total = Resources.NONE;
  private int waitingTasks;
  private long nextSequence = 1;

  FairQueue(PolicySettings settings) {
    this.settings = settings;
    for (JobClass jobClass : JobClass.values()) {
      lanes.put(jobClass, new LinkedHashMap<>());
      openLanes.put(jobClass, new LinkedHashSet<>());
      arrivals.put(jobClass, new LinkedHashSet<>());
    }
  }

  /** Queues a job, or counts its waiting attempts anew if it is queued already. */
  void add(QueuedJob job) {
    if (job.sequence == 0) {
      job.sequence = nextSequence++;
    }
    if (job.queue == null) {
      Lane lane = laneOf(job);
      job.queue = lane.queueOf(team(job.team()));
      job.queue.add(job);
      arrivalsOf(job.jobClass()).add(job);
    }
    recount(job);
  }

  /** Counts the waiting attempts of a queued job anew, and removes it if there are none. */
  void recount(QueuedJob job) {
    if (job.queue != null && !job.ready()) {
      unqueue(job, job.queue);
    }
    int counted = job.queue == null ? 0 : job.waiting().size();
    int change = counted - job.countedWaiting;
    job.countedWaiting = counted;
    waitingTasks += change;
    team(job.team()).waitingTasks += change;
  }

  /** Takes a job out; it may be in no queue. */
  void remove(QueuedJob job) {
    if (job.queue != null) {
      unqueue(job, job.queue);
      waitingTasks -= job.countedWaiting;
      team(job.team()).waitingTasks -= job.countedWaiting;
      job.countedWaiting = 0;
    }
  }

  /** Returns the job of a class whose turn it is, or null if none is left to try. */
  @Nullable QueuedJob next(JobClass jobClass) {
    return firstOf(jobClass, lane -> true);
  }

  /** Returns the job in need of accelerators whose turn it is, or null if none is left to try. */
  @Nullable QueuedJob nextWithAccelerators(JobClass jobClass) {
    return firstOf(jobClass, lane -> lane.need.accelerators() > 0);
  }

  /** Passes over the lane of a job until {@link #unblock} finds room for the job. */
  void block(QueuedJob job) {
    Lane lane = requireNonNull(job.queue).lane;
    lane.blockedBy = job;
    openLanesOf(lane.jobClass).remove(lane);
    blockedLanes.add(lane);
  }

  /** Opens the lanes of which the blocking job passes a test. */
  void unblock(Predicate<QueuedJob> hasRoom) {
    for (Lane lane : List.copyOf(blockedLanes)) {
      if (hasRoom.test(requireNonNull(lane.blockedBy))) {
        open(lane);
      }
    }
  }

  /** Keeps jobs like this one of its team back until the team uses less. */
  void hold(QueuedJob job) {
    TeamQueue held = requireNonNull(job.queue);
    held.lane.unlink(held);
    held.held = true;
  }

  /** Tells whether the quota allows the next start of a job. */
  boolean allows(QueuedJob job) {
    return team(job.team()).allows(nextStart(job));
  }

  /** Tells whether the quota would allow the next start of a job if its team used nothing. */
  boolean everAllows(QueuedJob job) {
    return team(job.team()).everAllows(nextStart(job));
  }

  /** Puts a job behind all others in the order in which reservations are granted. */
  void restartAging(QueuedJob job, long nowMs) {
    job.agingSinceMs = nowMs;
    if (arrivalsOf(job.jobClass()).remove(job)) {
      arrivalsOf(job.jobClass()).add(job);
    }
  }

  /** Counts an amount as in use by a team. */
  void charge(String team, Resources amount) {
    TeamState state = team(team);
    reorder(state, () -> state.used = state.used.plus(amount));
  }

  /** Counts an amount as in use no more. */
  void refund(String team, Resources amount) {
    TeamState state = team(team);
    reorder(state, () -> state.used = state.used.minus(amount));
    state.queues.forEach(this::release);
    if (state.idle()) {
      teams.remove(team);
    }
  }

  /** Changes what shares are measured against. */
  void setTotal(Resources newTotal) {
    if (!newTotal.equals(total)) {
      total = newTotal;
      reorderAll();
    }
  }

  /** Changes the quotas. */
  void setSettings(PolicySettings newSettings) {
    settings = newSettings;
    reorderAll();
  }

  /** Returns the waiting jobs of a class, the one that waits longest first. */
  Collection<QueuedJob> arrivals(JobClass jobClass) {
    return arrivalsOf(jobClass);
  }

  int waitingTasks() {
    return waitingTasks;
  }

  int waitingTasks(String team) {
    TeamState state = teams.get(team);
    return state == null ? 0 : state.waitingTasks;
  }

  private @Nullable QueuedJob firstOf(JobClass jobClass, Predicate<Lane> wanted) {
    TeamQueue best = null;
    for (Lane lane : openLanesOf(jobClass)) {
      TeamQueue first = lane.first();
      if (first != null && wanted.test(lane) && (best == null || first.before(best))) {
        best = first;
      }
    }
    return best == null ? null : best.head();
  }

  private void reorderAll() {
    for (TeamState state : new ArrayList<>(teams.values())) {
      reorder(state, () -> state.quota = settings.quota(state.team));
      state.queues.forEach(this::release);
    }
  }

  private void reorder(TeamState state, Runnable change) {
    state.queues.forEach(queue -> queue.lane.unlink(queue));
    change.run();
    state.share = Amounts.dominantShare(state.used, total) / state.quota.weight();
    for (TeamQueue queue : state.queues) {
      if (!queue.held) {
        queue.lane.link(queue);
      }
    }
  }

  private void release(TeamQueue queue) {
    if (queue.held) {
      queue.held = false;
      queue.lane.link(queue);
    }
  }

  private static Resources nextStart(QueuedJob job) {
    int tasks = job.allAtOnce() ? job.waiting().size() : 1;
    return Amounts.times(job.demand(), tasks);
  }

  private void unqueue(QueuedJob job, TeamQueue teamQueue) {
    teamQueue.remove(job);
    job.queue = null;
    arrivalsOf(job.jobClass()).remove(job);
    Lane lane = teamQueue.lane;
    lane.removeIfEmpty(teamQueue);
    if (lane.isEmpty()) {
      lanesOf(lane.jobClass).remove(lane.need);
      openLanesOf(lane.jobClass).remove(lane);
      blockedLanes.remove(lane);
    } else if (lane.blockedBy == job) {
      open(lane);
    }
  }

  private void open(Lane lane) {
    lane.blockedBy = null;
    blockedLanes.remove(lane);
    openLanesOf(lane.jobClass).add(lane);
  }

  private TeamState team(String team) {
    return teams.computeIfAbsent(team, name -> new TeamState(name, settings.quota(name)));
  }

  private Lane laneOf(QueuedJob job) {
    JobClass jobClass = job.jobClass();
    return lanesOf(jobClass)
        .computeIfAbsent(
            NeedBucket.of(job),
            need -> {
              Lane lane = new Lane(jobClass, need);
              openLanesOf(jobClass).add(lane);
              return lane;
            });
  }

  private Map<NeedBucket, Lane> lanesOf(JobClass jobClass) {
    return requireNonNull(lanes.get(jobClass));
  }

  private Set<Lane> openLanesOf(JobClass jobClass) {
    return requireNonNull(openLanes.get(jobClass));
  }

  private Set<QueuedJob> arrivalsOf(JobClass jobClass) {
    return requireNonNull(arrivals.get(jobClass));
  }
}
