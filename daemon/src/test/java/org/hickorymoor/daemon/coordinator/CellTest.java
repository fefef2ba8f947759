package org.hickorymoor.daemon.coordinator;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.port.WorkerPort;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.ledger.JobLedger;
import org.hickorymoor.domain.ledger.LedgerEntry;
import org.hickorymoor.domain.ledger.LedgerJob;
import org.hickorymoor.domain.policy.FirstFitScheduler;
import org.hickorymoor.domain.policy.PolicySettings;
import org.hickorymoor.protocol.platform.CommandOutcome;
import org.hickorymoor.protocol.platform.CommandReply;
import org.hickorymoor.protocol.platform.EndedTask;
import org.hickorymoor.protocol.platform.RunningTask;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.hickorymoor.protocol.platform.TaskOutcome;
import org.hickorymoor.protocol.platform.Usage;
import org.hickorymoor.protocol.platform.WorkerInfo;
import org.junit.jupiter.api.Test;

/**
 * Guards against a cell that reports a job as not run, or as ended, before it knows which tasks an
 * earlier coordinator started.
 */
final class CellTest {

  private static final RequestKey KEY = new RequestKey("team", "key");
  private static final Resources DEMAND = new Resources(1, 0, 100, 64, 0);
  private static final JobSpec SPEC =
      new JobSpec(
          KEY,
          "test",
          JobKind.BATCH,
          JobClass.NORMAL,
          1,
          DEMAND,
          0,
          "{}",
          true,
          Spread.NONE,
          0,
          null);
  private static final JobSpec AT_MOST_ONCE =
      new JobSpec(
          KEY,
          "test",
          JobKind.BATCH,
          JobClass.NORMAL,
          1,
          DEMAND,
          0,
          "{}",
          false,
          Spread.NONE,
          0,
          null);
  private static final String JOB = "e1-x-1";
  private static final TaskId ATTEMPT = new TaskId(JOB, 0, 1);
  private static final String TASK = ATTEMPT + "~old";
  private static final Usage NO_USAGE = new Usage(0, 0, 0, 0);
  private static final Map<String, String> LABELS =
      Map.of("job", JOB, "task", ATTEMPT.toString(), "record", "record");
  private static final List<String> WORKERS = List.of("w1", "w2");

  private final List<String> stopped = new ArrayList<>();
  private final List<String> claims = new ArrayList<>();
  private final Map<String, LedgerJob> journalJobs = new HashMap<>();
  private final Map<String, WorkerAgent> agents = new HashMap<>();
  private final Cell cell;
  private long nowMs = 1_000;

  CellTest() {
    CoordinatorSettings settings = CoordinatorSettings.withDefaults("h1", "i1", "kano");
    for (String id : WORKERS) {
      agents.put(
          id,
          new WorkerAgent(
              id,
              id,
              settings,
              new FakePort(),
              () -> nowMs,
              new Jitter(new SplittableRandom(1)),
              (agent, sentMs, reply) -> {}));
    }
    CellContext context =
        new CellContext(
            settings,
            new FirstFitScheduler(new SplittableRandom(1)),
            new FakeJournal(),
            new FakeSpecCodec(),
            () -> nowMs,
            () -> Long.MAX_VALUE,
            () -> PolicySettings.DEFAULT,
            agents::get);
    cell = new Cell(context, "tag");
  }

  private void restoreJob() {
    JobLedger ledger = new JobLedger(10);
    ledger.apply(new LedgerEntry.Accepted(JOB, SPEC, 0));
    cell.restore(ledger.jobs());
  }

  private void list(String worker, List<RunningTask> running, List<EndedTask> ended) {
    WorkerAgent agent = java.util.Objects.requireNonNull(agents.get(worker));
    SyncReply reply =
        new SyncReply(nowMs, worker + "-life", CommandOutcome.DONE, running, ended, NO_USAGE);
    cell.synced(agent, null, nowMs, reply);
    nowMs += 10;
  }

  private JobState cancel() {
    return cell.cancel(KEY).orElseThrow().join().state();
  }

  private JobState state() {
    return cell.get(KEY, 0).orElseThrow().join().state();
  }

  private static RunningTask running() {
    return new RunningTask(TASK, LABELS, DEMAND, 0, 10_000, 100, NO_USAGE);
  }

  private static EndedTask ended(TaskOutcome outcome) {
    return new EndedTask(TASK, LABELS, outcome, 0, "", 5);
  }

  @Test
  void cellIsNotReconciledBeforeEveryWorkerHasReported() {
    restoreJob();
    list("w1", List.of(), List.of());

    cell.tick(WORKERS);
    assertThat(cell.reconciled()).isFalse();

    list("w2", List.of(), List.of());
    cell.tick(WORKERS);
    assertThat(cell.reconciled()).isTrue();
  }

  @Test
  void jobCancelledBeforeItsWorkerReportsIsInDoubt() {
    restoreJob();
    list("w1", List.of(), List.of());

    assertThat(cancel()).isEqualTo(JobState.IN_DOUBT);

    list("w2", List.of(running()), List.of());
    cell.tick(WORKERS);
    assertThat(stopped).contains(TASK);
    list("w2", List.of(), List.of(ended(TaskOutcome.STOPPED)));
    assertThat(state()).isEqualTo(JobState.FAILED);
  }

  @Test
  void jobCancelledBeforeItsWorkerReportsItsEndIsDone() {
    restoreJob();
    list("w1", List.of(), List.of());

    assertThat(cancel()).isEqualTo(JobState.IN_DOUBT);

    list("w2", List.of(), List.of(ended(TaskOutcome.SUCCEEDED)));
    cell.tick(WORKERS);
    assertThat(state()).isEqualTo(JobState.DONE);
  }

  @Test
  void jobCancelledBeforeAllWorkersReportIsNotRunIfNoWorkerListsIt() {
    restoreJob();
    cancel();
    list("w1", List.of(), List.of());
    list("w2", List.of(), List.of());

    cell.tick(WORKERS);

    assertThat(state()).isEqualTo(JobState.NOT_RUN);
  }

  @Test
  void cancelledJobThatAnUnreachableWorkerMayHaveRunIsNotReportedAsNotRun() {
    restoreJob();
    list("w1", List.of(), List.of());
    nowMs += 60_000;
    cell.tick(WORKERS);

    assertThat(cell.reconciled()).isTrue();
    assertThat(cancel()).isEqualTo(JobState.FAILED);
  }

  @Test
  void stoppedJobMissingFromTheLogIsFailed() {
    cell.restore(List.of());
    list("w1", List.of(), List.of(ended(TaskOutcome.STOPPED)));
    list("w2", List.of(), List.of());

    cell.tick(WORKERS);

    assertThat(state()).isEqualTo(JobState.FAILED);
  }

  @Test
  void jobSubmittedBeforeLogIsReadWaitsForIt() {
    CompletableFuture<JobAnswer> answer = cell.submit(JOB, AT_MOST_ONCE, 60_000);
    nowMs += 500;
    cell.tick(WORKERS);
    assertThat(answer.isDone()).isFalse();

    cell.restore(List.of());

    assertThat(answer.isDone()).isFalse();
    assertThat(state()).isEqualTo(JobState.ACCEPTED);
  }

  @Test
  void jobSubmittedBeforeLogIsReadContinuesAsTheLogShowsIt() {
    final CompletableFuture<JobAnswer> answer = cell.submit(JOB, AT_MOST_ONCE, 60_000);
    JobLedger ledger = new JobLedger(10);
    ledger.apply(new LedgerEntry.Accepted(JOB, AT_MOST_ONCE, 0));
    ledger.apply(new LedgerEntry.Finished(JOB, JobState.DONE, Reason.NONE, 0));
    ledger.jobs().forEach(known -> journalJobs.put(JOB, known));

    cell.restore(ledger.jobs());

    assertThat(answer.join().jobId()).isEqualTo(JOB);
    assertThat(claims).isEmpty();
  }

  @Test
  void jobSubmittedWhileLogCannotBeReadIsRefused() {
    CompletableFuture<JobAnswer> answer = cell.submit(JOB, AT_MOST_ONCE, 60_000);
    nowMs += 60_000;

    cell.tick(WORKERS);

    assertThat(answer.join().state()).isEqualTo(JobState.NOT_RUN);
    assertThat(answer.join().reason().type()).isEqualTo(ReasonType.LOG_UNAVAILABLE);
    assertThat(cell.openJobs()).isEqualTo(0);
  }

  @Test
  void jobThatWorkerReportsIsNotRefusedWhileLogCannotBeRead() {
    final CompletableFuture<JobAnswer> answer = cell.submit(JOB, AT_MOST_ONCE, 60_000);
    list("w1", List.of(running()), List.of());
    nowMs += 2_000;

    cell.tick(WORKERS);

    assertThat(answer.isDone()).isFalse();
    assertThat(state()).isEqualTo(JobState.RUNNING);
  }

  @Test
  void jobIsNotAcceptedBeforeItsKeyIsClaimed() {
    CompletableFuture<JobAnswer> answer = cell.submit(JOB, AT_MOST_ONCE, 0);
    assertThat(answer.isDone()).isFalse();

    cell.restore(List.of());

    assertThat(answer.join().state()).isEqualTo(JobState.ACCEPTED);
    assertThat(claims).containsExactly(JOB);
  }

  private final class FakePort implements WorkerPort {

    private static CommandReply done() {
      return new CommandReply(0, "life", CommandOutcome.DONE, null);
    }

    @Override
    public CompletableFuture<WorkerInfo> info(String address, long timeoutMs) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<CommandReply> start(
        String address, StartCommand command, long timeoutMs) {
      return CompletableFuture.completedFuture(done());
    }

    @Override
    public CompletableFuture<SyncReply> sync(String address, SyncCommand command, long timeoutMs) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<CommandReply> stop(
        String address, TaskCommand command, long timeoutMs) {
      stopped.add(command.taskId());
      return CompletableFuture.completedFuture(done());
    }

    @Override
    public CompletableFuture<CommandReply> throttle(
        String address, TaskCommand command, long timeoutMs) {
      return CompletableFuture.completedFuture(done());
    }

    @Override
    public CompletableFuture<CommandReply> checkpoint(
        String address, TaskCommand command, long timeoutMs) {
      return CompletableFuture.completedFuture(done());
    }
  }

  private static final class FakeSpecCodec implements JobSpecCodec {

    @Override
    public String encode(JobSpec spec) {
      return "record";
    }

    @Override
    public Optional<JobSpec> decode(String text) {
      return Optional.of(SPEC);
    }
  }

  private final class FakeJournal implements JobJournal {

    private CompletableFuture<Void> stored() {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Collection<LedgerJob>> beginTerm(String termId) {
      return new CompletableFuture<>();
    }

    @Override
    public boolean isTermCurrent() {
      return true;
    }

    @Override
    public CompletableFuture<String> claim(String jobId, JobSpec spec) {
      claims.add(jobId);
      return CompletableFuture.completedFuture(jobId);
    }

    @Override
    public Optional<LedgerJob> find(String jobId) {
      return Optional.ofNullable(journalJobs.get(jobId));
    }

    @Override
    public CompletableFuture<Void> recordAccepted(String jobId, JobSpec spec) {
      return stored();
    }

    @Override
    public CompletableFuture<Void> recordPlaced(
        TaskId task, String workerTaskId, String workerId, String workerIncarnation) {
      return stored();
    }

    @Override
    public CompletableFuture<Void> recordEnded(
        TaskId task, JobState state, String workerId, EndedTask end) {
      return stored();
    }

    @Override
    public CompletableFuture<Void> recordFinished(JobAnswer answer) {
      return stored();
    }
  }
}
