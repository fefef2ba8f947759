package org.hickorymoor.daemon.coordinator;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hickorymoor.daemon.coordinator.JobTask.Phase;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.ledger.LedgerEntry;
import org.hickorymoor.domain.ledger.LedgerJob;
import org.hickorymoor.domain.policy.Decision;
import org.hickorymoor.domain.policy.TaskEnd;
import org.hickorymoor.domain.policy.TaskEnd.Outcome;
import org.hickorymoor.protocol.platform.CommandOutcome;
import org.hickorymoor.protocol.platform.CommandReply;
import org.hickorymoor.protocol.platform.EndOutcome;
import org.hickorymoor.protocol.platform.EndedTask;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.jspecify.annotations.Nullable;

/**
 * Carries decisions out on workers and follows what becomes of them.
 *
 * <p>Every method that is not marked otherwise is called with the cell's lock held; calls that go
 * out are collected and run by the cell without it.
 */
final class TaskRunner {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  static final String JOB_LABEL = "job";
  static final String TASK_LABEL = "task";
  static final String RECORD_LABEL = "record";

  private final CellContext context;
  private final JobTable jobs;
  private final Object lock;
  private final String termTag;
  private final long termStartedMs;
  private final Runnable pump;
  private final WorkerLists lists;
  private List<Runnable> calls = new ArrayList<>();

  TaskRunner(
      CellContext context,
      JobTable jobs,
      Object lock,
      String termTag,
      long termStartedMs,
      Runnable pump) {
    this.context = context;
    this.jobs = jobs;
    this.lock = lock;
    this.termTag = termTag;
    this.termStartedMs = termStartedMs;
    this.pump = pump;
    this.lists = new WorkerLists(context, jobs, this);
  }

  List<Runnable> takeCalls() {
    List<Runnable> taken = calls;
    calls = new ArrayList<>();
    return taken;
  }

  private long nowMs() {
    return context.clockMs().getAsLong();
  }

  /** Records a new job, and queues it once its record allows. */
  void record(Job job) {
    job.want();
    if (job.spec().repeatable()) {
      enqueue(job);
      calls.add(() -> context.journal().accepted(job.jobId(), job.spec()));
    } else {
      calls.add(
          () ->
              context
                  .journal()
                  .claim(job.jobId(), job.spec())
                  .whenComplete((jobId, failure) -> claimed(job, jobId, failure)));
    }
  }

  /** Called without the lock. */
  private void claimed(Job job, @Nullable String jobId, @Nullable Throwable failure) {
    synchronized (lock) {
      if (failure == null && job.jobId().equals(jobId)) {
        enqueue(job);
      } else if (jobId != null) {
        rename(job, jobId);
      } else if (WorkerAgent.unwrap(failure) instanceof JournalException e) {
        refuse(job, e);
      }
    }
    pump.run();
  }

  /** Goes on under the name by which the domain claimed the key earlier. */
  private void rename(Job job, String jobId) {
    Job renamed = jobs.byId(jobId);
    if (renamed == null) {
      renamed = new Job(jobId, job.spec(), job.acceptedMs());
    }
    jobs.remove(job);
    jobs.add(renamed);
    renamed.want();
    job.takeWaiters().forEach(renamed::await);
    if (renamed.ended()) {
      notifyWaiters(renamed);
    }
    enqueue(renamed);
  }

  private void refuse(Job job, JournalException e) {
    ReasonType type =
        e.type() == JournalException.Type.CLAIMED_ELSEWHERE
            ? ReasonType.KEY_REUSED
            : ReasonType.LOG_UNAVAILABLE;
    end(job, type, e.explanation());
    jobs.remove(job);
  }

  /** Ends a job none of whose tasks has been started. */
  private void end(Job job, ReasonType type, String message) {
    job.reason(new Reason(type, message));
    job.tasks().forEach(task -> task.phase(Phase.NOT_RUN));
    completeIfEnded(job);
  }

  /** Gives the waiting tasks of a job to the scheduler, once. */
  void enqueue(Job job) {
    if (job.queued() || !job.wanted() || job.ended() || job.cancelled()) {
      return;
    }
    List<TaskId> attempts =
        job.tasks().stream()
            .filter(task -> task.phase() == Phase.WAITING)
            .map(task -> nextAttempt(job, task))
            .toList();
    job.queued(true);
    if (!attempts.isEmpty()) {
      context.scheduler().submit(job.jobId(), job.spec(), attempts, nowMs());
    }
  }

  /** Takes in what the log knows of a job. */
  void restore(LedgerJob known, boolean settled) {
    Job job = jobs.byId(known.jobId());
    if (job == null) {
      if (jobs.byKey(known.spec().request()) != null) {
        return;
      }
      job = new Job(known.jobId(), known.spec(), nowMs());
      jobs.add(job);
    }
    if (job.ended()) {
      return;
    }
    LedgerRestore.into(job, known, jobs);
    LedgerEntry.Finished finished = known.finished();
    if (finished != null) {
      job.reason(finished.reason());
      job.end(nowMs());
      jobs.keepEnded(job);
      notifyWaiters(job);
      return;
    }
    job.want();
    if (settled) {
      enqueue(job);
    }
    completeIfEnded(job);
  }

  private static TaskId nextAttempt(Job job, JobTask task) {
    TaskId last = task.attempt();
    return new TaskId(job.jobId(), task.index(), last == null ? 1 : last.attempt() + 1);
  }

  void carryOut(Decision decision) {
    if (decision instanceof Decision.Start start) {
      start(start.task(), start.workerId());
    } else if (decision instanceof Decision.Throttle throttle) {
      throttle(throttle);
    } else if (decision instanceof Decision.Preempt preempt) {
      preempt(preempt);
    } else if (decision instanceof Decision.GiveUp giveUp) {
      giveUp(giveUp);
    }
  }

  private void start(TaskId attempt, String workerId) {
    Job job = jobs.byId(attempt.jobId());
    WorkerAgent agent = context.agents().apply(workerId);
    if (job == null || job.ended() || job.cancelled() || agent == null) {
      context.scheduler().taskEnded(attempt, new TaskEnd(Outcome.NOT_STARTED, 0), nowMs());
      return;
    }
    JobTask task = job.tasks().get(attempt.index());
    String incarnation = lists.incarnation(workerId);
    task.given(attempt, attempt + "~" + termTag, workerId, incarnation, Phase.RECORDING);
    jobs.place(workerId, task.workerTaskId(), job, task);
    if (job.spec().repeatable()) {
      calls.add(() -> send(job, task, attempt, agent));
    } else {
      calls.add(
          () ->
              context
                  .journal()
                  .placed(attempt, task.workerTaskId(), workerId, incarnation)
                  .whenComplete((done, failure) -> placed(job, task, attempt, agent, failure)));
    }
  }

  /** Called without the lock. */
  private void placed(
      Job job, JobTask task, TaskId attempt, WorkerAgent agent, @Nullable Throwable failure) {
    if (failure == null) {
      send(job, task, attempt, agent);
      return;
    }
    synchronized (lock) {
      notStarted(job, task, attempt);
    }
    pump.run();
  }

  /** Called without the lock. The look at the authority is the last thing before the call. */
  private void send(Job job, JobTask task, TaskId attempt, WorkerAgent agent) {
    StartCommand command;
    synchronized (lock) {
      if (!task.isAttempt(attempt) || job.cancelled() || !mayCommand(agent)) {
        notStarted(job, task, attempt);
        return;
      }
      command = command(job, task, agent.commandLimitMs());
      task.startLimitMs(command.notAfterMs());
      task.phase(Phase.STARTING);
    }
    agent
        .start(command)
        .whenComplete((reply, failure) -> started(job, task, attempt, reply, failure));
  }

  private boolean mayCommand(WorkerAgent agent) {
    return context.hasAuthority() && nowMs() < agent.authorityUntilMs();
  }

  private StartCommand command(Job job, JobTask task, long notAfterMs) {
    Map<String, String> labels =
        Map.of(
            JOB_LABEL, job.jobId(),
            TASK_LABEL, String.valueOf(task.attempt()),
            RECORD_LABEL, context.records().write(job.spec()));
    return new StartCommand(
        task.workerTaskId(),
        labels,
        job.spec().demand(),
        job.spec().payload(),
        task.checkpoint(),
        context.settings().taskLeaseMs(),
        notAfterMs);
  }

  /** Called without the lock. */
  private void started(
      Job job,
      JobTask task,
      TaskId attempt,
      @Nullable CommandReply reply,
      @Nullable Throwable failure) {
    synchronized (lock) {
      if (!task.isAttempt(attempt) || task.phase() != Phase.STARTING) {
        return;
      }
      if (reply != null && reply.outcome() == CommandOutcome.DONE) {
        task.running(nowMs());
        stopIfUnwanted(job, task);
      } else if (reply != null || isCertainlyWithoutEffect(failure)) {
        notStarted(job, task, attempt);
      } else {
        task.phase(Phase.START_UNANSWERED);
      }
    }
    pump.run();
  }

  private static boolean isCertainlyWithoutEffect(@Nullable Throwable failure) {
    return WorkerAgent.unwrap(failure) instanceof PlatformException e && !e.mayHaveTakenEffect();
  }

  /** Takes an attempt back that certainly never took effect and never will. */
  void notStarted(Job job, JobTask task, TaskId attempt) {
    if (!task.isAttempt(attempt) || task.phase().isEnded()) {
      return;
    }
    unplace(task);
    task.phase(Phase.WAITING);
    if (job.cancelled()) {
      task.phase(attempt.attempt() == 1 ? Phase.NOT_RUN : Phase.FAILED);
    }
    context.scheduler().taskEnded(attempt, new TaskEnd(Outcome.NOT_STARTED, 0), nowMs());
    if (!job.cancelled()) {
      breakUp(job);
    }
    completeIfEnded(job);
  }

  private void unplace(JobTask task) {
    String workerId = task.workerId();
    if (workerId != null) {
      jobs.unplace(workerId, task.workerTaskId());
    }
  }

  /** Stops the other tasks of an all-at-once job one of whose tasks is no longer running. */
  private void breakUp(Job job) {
    if (job.spec().kind() != JobKind.ALL_AT_ONCE || !job.spec().repeatable()) {
      return;
    }
    job.tasks().stream().filter(task -> task.phase().mayRun()).forEach(this::stop);
  }

  private void stopIfUnwanted(Job job, JobTask task) {
    if (job.cancelled()) {
      stop(task);
    }
  }

  /** Asks for a running task to be stopped; its end is told by the worker's list. */
  void stop(JobTask task) {
    String workerId = task.workerId();
    WorkerAgent agent = workerId == null ? null : context.agents().apply(workerId);
    if (agent == null || task.stopping()) {
      return;
    }
    task.stopping(true);
    String workerTaskId = task.workerTaskId();
    calls.add(
        () ->
            agent
                .stop(workerTaskId)
                .whenComplete((reply, failure) -> stopped(task, workerTaskId, reply)));
  }

  /** Called without the lock. */
  private void stopped(JobTask task, String workerTaskId, @Nullable CommandReply reply) {
    synchronized (lock) {
      boolean confirmed = reply != null && reply.outcome() == CommandOutcome.DONE;
      if (!confirmed && task.workerTaskId().equals(workerTaskId)) {
        task.stopping(false);
      }
    }
  }

  private void throttle(Decision.Throttle throttle) {
    JobTask task = find(throttle.task());
    WorkerAgent agent = context.agents().apply(throttle.workerId());
    if (task != null && agent != null) {
      String workerTaskId = task.workerTaskId();
      calls.add(() -> agent.throttle(workerTaskId, throttle.percent()));
    }
  }

  private void preempt(Decision.Preempt preempt) {
    JobTask task = find(preempt.task());
    WorkerAgent agent = context.agents().apply(preempt.workerId());
    if (task == null || agent == null) {
      return;
    }
    if (!preempt.checkpointFirst()) {
      stop(task);
      return;
    }
    String workerTaskId = task.workerTaskId();
    calls.add(
        () ->
            agent
                .checkpoint(workerTaskId)
                .whenComplete((reply, failure) -> checkpointed(task, workerTaskId, reply)));
  }

  /** Called without the lock. */
  private void checkpointed(JobTask task, String workerTaskId, @Nullable CommandReply reply) {
    synchronized (lock) {
      if (!task.workerTaskId().equals(workerTaskId)) {
        return;
      }
      if (reply != null && reply.outcome() == CommandOutcome.DONE) {
        task.checkpoint(reply.checkpoint());
      }
      stop(task);
    }
    pump.run();
  }

  private @Nullable JobTask find(TaskId attempt) {
    Job job = jobs.byId(attempt.jobId());
    if (job == null) {
      return null;
    }
    JobTask task = job.tasks().get(attempt.index());
    return task.isAttempt(attempt) && task.phase().mayRun() ? task : null;
  }

  private void giveUp(Decision.GiveUp giveUp) {
    Job job = jobs.byId(giveUp.jobId());
    if (job != null && !job.ended()) {
      cancel(job, giveUp.reason().type(), giveUp.reason().message());
    }
  }

  /** Ends a job: what waits is not run, what runs is stopped. */
  void cancel(Job job, ReasonType type, String message) {
    if (job.ended() || job.cancelled()) {
      return;
    }
    job.cancel();
    job.reason(new Reason(type, message));
    context.scheduler().cancel(job.jobId());
    for (JobTask task : job.tasks()) {
      if (task.phase() == Phase.WAITING) {
        task.phase(task.attempt() == null ? Phase.NOT_RUN : Phase.FAILED);
      } else if (task.phase().mayRun()) {
        stop(task);
      }
    }
    completeIfEnded(job);
  }

  void synced(WorkerAgent agent, long sentMs, SyncReply reply) {
    lists.take(agent, sentMs, reply);
  }

  /** Takes in the end of an attempt that the worker lists. */
  void ended(Job job, JobTask task, WorkerAgent agent, EndedTask ended) {
    TaskId attempt = task.attempt();
    if (attempt == null || task.phase().isEnded()) {
      agent.acknowledge(ended.taskId());
      return;
    }
    unplace(task);
    task.result(ended.exitCode(), ended.output());
    task.phase(phaseAfter(job, ended.outcome()));
    explainEnd(job, task, ended.outcome());
    context
        .scheduler()
        .taskEnded(attempt, new TaskEnd(outcome(ended.outcome()), ended.ranMs()), nowMs());
    if (task.phase() == Phase.WAITING) {
      breakUp(job);
    }
    JobState state = task.status().state();
    calls.add(() -> recordEnd(job, attempt, state, agent, ended));
    completeIfEnded(job);
  }

  /** Called without the lock. A job that must not be repeated keeps its end on the worker. */
  private void recordEnd(
      Job job, TaskId attempt, JobState state, WorkerAgent agent, EndedTask ended) {
    context
        .journal()
        .ended(attempt, state, agent.workerId(), ended)
        .whenComplete(
            (done, failure) -> {
              if (failure == null || job.spec().repeatable()) {
                agent.acknowledge(ended.taskId());
              }
            });
  }

  private static Phase phaseAfter(Job job, EndOutcome outcome) {
    if (job.cancelled()) {
      return outcome == EndOutcome.SUCCEEDED ? Phase.SUCCEEDED : Phase.FAILED;
    }
    if (job.isService()) {
      return Phase.WAITING;
    }
    if (outcome == EndOutcome.SUCCEEDED) {
      return Phase.SUCCEEDED;
    }
    return job.spec().repeatable() ? Phase.WAITING : Phase.FAILED;
  }

  private static void explainEnd(Job job, JobTask task, EndOutcome outcome) {
    if (task.phase() == Phase.FAILED && !job.cancelled()) {
      ReasonType type =
          outcome == EndOutcome.LAPSED ? ReasonType.LEASE_LAPSED : ReasonType.TASK_FAILED;
      job.reason(new Reason(type, "Task " + task.index() + " ended " + outcome + "."));
    }
    if (task.phase() == Phase.SUCCEEDED && job.reason().type() == ReasonType.WORKER_UNREACHABLE) {
      job.reason(Reason.NONE);
    }
  }

  private static Outcome outcome(EndOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> Outcome.SUCCEEDED;
      case FAILED -> Outcome.FAILED;
      case STOPPED, LAPSED -> Outcome.STOPPED;
    };
  }

  /** Takes in that an attempt certainly no longer runs, without word of how it ended. */
  void vanished(Job job, JobTask task, ReasonType type, String message) {
    TaskId attempt = task.attempt();
    if (attempt == null || task.phase().isEnded() || task.phase() == Phase.IN_DOUBT) {
      return;
    }
    context.scheduler().taskEnded(attempt, new TaskEnd(Outcome.STOPPED, 0), nowMs());
    if (!job.spec().repeatable()) {
      if (type == ReasonType.WORKER_RESTARTED) {
        unplace(task);
      }
      task.phase(Phase.IN_DOUBT);
      job.reason(new Reason(type, message));
      notifyWaiters(job);
      return;
    }
    unplace(task);
    task.phase(job.cancelled() ? Phase.FAILED : Phase.WAITING);
    if (!job.cancelled()) {
      breakUp(job);
    }
    completeIfEnded(job);
  }

  /** Takes in that a task that was in doubt runs. */
  void cleared(Job job, JobTask task, String workerId) {
    task.running(nowMs());
    job.reason(Reason.NONE);
    TaskId attempt = task.attempt();
    if (attempt != null) {
      context.scheduler().taskFound(attempt, job.spec(), workerId, nowMs());
    }
  }

  /** Takes in that the worker of a task in doubt has lost its memory of it. */
  void lostForGood(Job job, JobTask task) {
    unplace(task);
    job.reason(
        new Reason(
            ReasonType.WORKER_RESTARTED,
            "Worker " + task.workerId() + " restarted and can't tell what became of it."));
  }

  /** Queues a task again whose only start certainly never took effect, after it was in doubt. */
  void reopen(Job job, JobTask task) {
    unplace(task);
    task.phase(Phase.WAITING);
    job.reason(Reason.NONE);
    TaskId attempt = nextAttempt(job, task);
    context.scheduler().submit(job.jobId(), job.spec(), List.of(attempt), nowMs());
  }

  /** Stops the services on a worker that is leaving; once stopped, they start elsewhere. */
  void moveServices(String workerId) {
    jobs.on(workerId).values().stream()
        .filter(entry -> entry.job().isService() && entry.task().phase() == Phase.RUNNING)
        .forEach(entry -> stop(entry.task()));
  }

  /** Looks for tasks that have lapsed with their workers out of reach, and for missed deadlines. */
  void expire(long nowMs) {
    for (String workerId : jobs.workersWithTasks()) {
      WorkerAgent agent = context.agents().apply(workerId);
      long lastMs = agent == null ? termStartedMs : agent.lastReplyMs();
      if (nowMs > Math.max(lastMs, termStartedMs) + context.settings().lapseMs()) {
        lists.lapse(workerId);
      }
    }
    List<Job> late = jobs.all().stream().filter(job -> missedStart(job, nowMs)).toList();
    for (Job job : late) {
      cancel(job, ReasonType.START_DEADLINE_PASSED, "The job did not start within its time.");
    }
    for (Job job : jobs.all()) {
      if (job.cancelled() && !job.ended()) {
        job.tasks().stream().filter(task -> task.phase().mayRun()).forEach(this::stop);
      }
    }
  }

  private static boolean missedStart(Job job, long nowMs) {
    long withinMs = job.spec().startWithinMs();
    return withinMs > 0
        && !job.ended()
        && nowMs > job.acceptedMs() + withinMs
        && job.tasks().stream().allMatch(task -> task.attempt() == null);
  }

  void completeIfEnded(Job job) {
    if (job.ended() || !job.allEnded()) {
      return;
    }
    job.end(nowMs());
    context.scheduler().cancel(job.jobId());
    jobs.keepEnded(job);
    calls.add(() -> context.journal().finished(job.answer()));
    notifyWaiters(job);
    logger.atFine().log("coordinator: Job %s is %s.", job.jobId(), job.state());
  }

  private void notifyWaiters(Job job) {
    var answer = job.answer();
    job.takeWaiters().forEach(waiter -> calls.add(() -> waiter.complete(answer)));
  }
}
