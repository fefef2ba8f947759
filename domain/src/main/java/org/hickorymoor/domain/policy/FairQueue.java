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
 * Waiting jobs, ordered by class, then by the weighted dominant share of the team, then by arrival.
 *
 * <p>Finding the next job takes time linear in the number of active demand groups, independent of
 * the number of jobs and teams. Removing a job takes constant time, plus the update of the ordered
 * set of teams.
 */
final class FairQueue {

  private final Map<JobClass, Map<DemandBucket, DemandGroup>> groups =
      new EnumMap<>(JobClass.class);
  private final Map<JobClass, Set<DemandGroup>> activeGroups = new EnumMap<>(JobClass.class);
  private final Map<JobClass, Set<QueuedJob>> jobsByAge = new EnumMap<>(JobClass.class);
  private final Set<DemandGroup> blockedGroups = new LinkedHashSet<>();
  private final Map<String, TeamState> teams = new HashMap<>();
  private PolicySettings settings;
  private Resources total = Resources.NONE;
  private int waitingTasks;
  private long nextSequence = 1;

  FairQueue(PolicySettings settings) {
    this.settings = settings;
    for (JobClass jobClass : JobClass.values()) {
      groups.put(jobClass, new LinkedHashMap<>());
      activeGroups.put(jobClass, new LinkedHashSet<>());
      jobsByAge.put(jobClass, new LinkedHashSet<>());
    }
  }

  /** Queues a job, or updates the count of its waiting attempts if it is already queued. */
  void add(QueuedJob job) {
    if (job.sequence == 0) {
      job.sequence = nextSequence++;
    }
    if (job.queue == null) {
      DemandGroup group = groupOf(job);
      job.queue = group.queueOf(team(job.team()));
      job.queue.add(job);
      jobsByAgeOf(job.jobClass()).add(job);
    }
    recount(job);
  }

  /** Updates the count of a job's waiting attempts; dequeues the job if none is ready to start. */
  void recount(QueuedJob job) {
    if (job.queue != null && !job.ready()) {
      dequeue(job, job.queue);
    }
    int counted = job.queue == null ? 0 : job.waiting().size();
    int change = counted - job.countedWaiting;
    job.countedWaiting = counted;
    waitingTasks += change;
    team(job.team()).waitingTasks += change;
  }

  /** Dequeues a job; does nothing if it is not queued. */
  void remove(QueuedJob job) {
    if (job.queue != null) {
      dequeue(job, job.queue);
      waitingTasks -= job.countedWaiting;
      team(job.team()).waitingTasks -= job.countedWaiting;
      job.countedWaiting = 0;
    }
  }

  /** Returns the next job of a class to start, or null if no active group has one. */
  @Nullable QueuedJob next(JobClass jobClass) {
    return selectFirst(jobClass, group -> true);
  }

  /** Returns the next job of a class that needs accelerators, or null if there is none. */
  @Nullable QueuedJob nextWithAccelerators(JobClass jobClass) {
    return selectFirst(jobClass, group -> group.bucket.accelerators() > 0);
  }

  /** Skips the demand group of a job until {@link #unblock} finds room for the job. */
  void block(QueuedJob job) {
    DemandGroup group = requireNonNull(job.queue).group;
    group.blockedBy = job;
    activeGroupsOf(group.jobClass).remove(group);
    blockedGroups.add(group);
  }

  /** Reactivates the demand groups whose blocking job has room again. */
  void unblock(Predicate<QueuedJob> hasRoom) {
    for (DemandGroup group : List.copyOf(blockedGroups)) {
      if (hasRoom.test(requireNonNull(group.blockedBy))) {
        activate(group);
      }
    }
  }

  /** Skips the team's jobs in this demand group until the team's usage decreases. */
  void holdForQuota(QueuedJob job) {
    TeamQueue teamQueue = requireNonNull(job.queue);
    teamQueue.group.removeFromOrder(teamQueue);
    teamQueue.heldByQuota = true;
  }

  /** Returns whether the team's quota currently allows the next start of a job. */
  boolean withinQuota(QueuedJob job) {
    return team(job.team()).withinQuota(nextStartDemand(job));
  }

  /** Returns whether the team's quota would allow the next start of a job without other usage. */
  boolean fitsQuotaLimit(QueuedJob job) {
    return team(job.team()).fitsQuotaLimit(nextStartDemand(job));
  }

  /** Moves a job to the end of the order in which reservations are granted. */
  void restartAging(QueuedJob job, long nowMs) {
    job.agingSinceMs = nowMs;
    if (jobsByAgeOf(job.jobClass()).remove(job)) {
      jobsByAgeOf(job.jobClass()).add(job);
    }
  }

  /** Adds an amount to the usage of a team. */
  void addUsage(String team, Resources amount) {
    TeamState state = team(team);
    reorder(state, () -> state.used = state.used.plus(amount));
  }

  /** Subtracts an amount from the usage of a team and resumes its jobs held for the quota. */
  void removeUsage(String team, Resources amount) {
    TeamState state = team(team);
    reorder(state, () -> state.used = state.used.minus(amount));
    state.queues.forEach(this::resume);
    if (state.idle()) {
      teams.remove(team);
    }
  }

  /** Sets the capacity that dominant shares are relative to. */
  void setTotalCapacity(Resources newTotal) {
    if (!newTotal.equals(total)) {
      total = newTotal;
      reorderAll();
    }
  }

  /** Applies the quotas of new settings. */
  void setSettings(PolicySettings newSettings) {
    settings = newSettings;
    reorderAll();
  }

  /** Returns the waiting jobs of a class, the one that waits longest first. */
  Collection<QueuedJob> jobsByAge(JobClass jobClass) {
    return jobsByAgeOf(jobClass);
  }

  int waitingTasks() {
    return waitingTasks;
  }

  int waitingTasks(String team) {
    TeamState state = teams.get(team);
    return state == null ? 0 : state.waitingTasks;
  }

  private @Nullable QueuedJob selectFirst(JobClass jobClass, Predicate<DemandGroup> filter) {
    TeamQueue best = null;
    for (DemandGroup group : activeGroupsOf(jobClass)) {
      TeamQueue first = group.first();
      if (first != null && filter.test(group) && (best == null || first.before(best))) {
        best = first;
      }
    }
    return best == null ? null : best.head();
  }

  private void reorderAll() {
    for (TeamState state : new ArrayList<>(teams.values())) {
      reorder(state, () -> state.quota = settings.quota(state.team));
      state.queues.forEach(this::resume);
    }
  }

  private void reorder(TeamState state, Runnable change) {
    state.queues.forEach(queue -> queue.group.removeFromOrder(queue));
    change.run();
    state.share = ResourceMath.dominantShare(state.used, total) / state.quota.weight();
    for (TeamQueue queue : state.queues) {
      if (!queue.heldByQuota) {
        queue.group.addToOrder(queue);
      }
    }
  }

  private void resume(TeamQueue queue) {
    if (queue.heldByQuota) {
      queue.heldByQuota = false;
      queue.group.addToOrder(queue);
    }
  }

  private static Resources nextStartDemand(QueuedJob job) {
    int tasks = job.allAtOnce() ? job.waiting().size() : 1;
    return ResourceMath.multiply(job.demand(), tasks);
  }

  private void dequeue(QueuedJob job, TeamQueue teamQueue) {
    teamQueue.remove(job);
    job.queue = null;
    jobsByAgeOf(job.jobClass()).remove(job);
    DemandGroup group = teamQueue.group;
    group.removeIfEmpty(teamQueue);
    if (group.isEmpty()) {
      groupsOf(group.jobClass).remove(group.bucket);
      activeGroupsOf(group.jobClass).remove(group);
      blockedGroups.remove(group);
    } else if (group.blockedBy == job) {
      activate(group);
    }
  }

  private void activate(DemandGroup group) {
    group.blockedBy = null;
    blockedGroups.remove(group);
    activeGroupsOf(group.jobClass).add(group);
  }

  private TeamState team(String team) {
    return teams.computeIfAbsent(team, name -> new TeamState(name, settings.quota(name)));
  }

  private DemandGroup groupOf(QueuedJob job) {
    JobClass jobClass = job.jobClass();
    return groupsOf(jobClass)
        .computeIfAbsent(
            DemandBucket.of(job),
            bucket -> {
              DemandGroup group = new DemandGroup(jobClass, bucket);
              activeGroupsOf(jobClass).add(group);
              return group;
            });
  }

  private Map<DemandBucket, DemandGroup> groupsOf(JobClass jobClass) {
    return requireNonNull(groups.get(jobClass));
  }

  private Set<DemandGroup> activeGroupsOf(JobClass jobClass) {
    return requireNonNull(activeGroups.get(jobClass));
  }

  private Set<QueuedJob> jobsByAgeOf(JobClass jobClass) {
    return requireNonNull(jobsByAge.get(jobClass));
  }
}
