package org.hickorymoor.daemon.shard;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.RunTimes;
import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.Urgency;
import org.hickorymoor.domain.workload.WorkerAllocation;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.hickorymoor.domain.workload.WorkloadSpec;

/** Hosts with admission control, and workers that run the jobs in order of urgency. */
final class SimulatedPool implements AdmissionControl.Cell {

  private static final int WORKERS = 4;
  private static final int HOSTS = 3;
  private static final long LINK_LATENCY_MS = 2;
  private static final long PASS_INTERVAL_MS = 10;

  /** Jobs of one customer by what became of them. */
  static final class Tally {
    int refusals;
    int accepted;
    int onTime;
    int ended;
  }

  final VirtualTime time = new VirtualTime(5);
  final VirtualTime.HostEventLoop loop = time.new HostEventLoop();
  final AdmissionBacklog backlog = new AdmissionBacklog(RunTimes.DECLARED, loop::nowMs);
  final Map<String, Integer> shareRanks = new HashMap<>();

  /** Maximum number of tasks that a customer's limit lets run. */
  final Map<String, Integer> limits = new HashMap<>();

  final AdmissionControl control =
      new AdmissionControl(
          loop, backlog, this, () -> null, job -> shareRanks.getOrDefault(customer(job), 0));
  boolean fresh = true;
  private final List<AdmissionGate> gates = new ArrayList<>();
  private final List<WorkerAllocation> workers = new ArrayList<>();
  private final Map<String, ScheduledJob> open = new LinkedHashMap<>();
  private final Set<String> ended = new HashSet<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final Map<String, Tally> tallies = new HashMap<>();

  SimulatedPool() {
    for (int i = 0; i < WORKERS; i++) {
      workers.add(
          new WorkerAllocation(
              new WorkerDescriptor(
                  "w" + i, "a", "pool", "d", "", Set.of(), 16_000, 64_000, 0, false, -1)));
    }
    for (int i = 0; i < HOSTS; i++) {
      gates.add(
          new AdmissionGate(
              loop,
              (question, timeoutMs) -> {
                CompletableFuture<PeerReply> reply = new CompletableFuture<>();
                time.after(LINK_LATENCY_MS, () -> reply.complete(control.decide(question)));
                return reply;
              },
              new ShardMetrics(new MetricRegistry())));
    }
    control.start();
    pass();
  }

  static String customer(Submission job) {
    return Objects.requireNonNull(job.customer()).name();
  }

  static Submission job(String customer, String id, long nowMs, StepSpec... steps) {
    return new Submission(
        id,
        nowMs,
        SimulatedCell.POLICY,
        new WorkloadSpec("", List.of(steps), 0, 0, 0),
        new CustomerPolicy(customer, 1, Resources.NONE));
  }

  Tally tally(String customer) {
    return tallies.computeIfAbsent(customer, name -> new Tally());
  }

  /** Submits a job of one step; its caller returns after each refusal if it is patient. */
  void submit(String customer, String id, int tasks, boolean patient) {
    Submission job = job(customer, id, loop.nowMs(), SimulatedCell.step(tasks, List.of(), false));
    AdmissionGate gate = gates.get(time.random().nextInt(HOSTS));
    var unused =
        gate.admit(job, 2_800)
            .thenAccept(
                admission -> {
                  if (admission.admitted()) {
                    tally(customer).accepted++;
                    time.after(LINK_LATENCY_MS, () -> announce(gate, job));
                  } else {
                    tally(customer).refusals++;
                    if (patient) {
                      time.after(admission.retryAfterMs(), () -> submit(customer, id, tasks, true));
                    }
                  }
                });
  }

  private void announce(AdmissionGate gate, Submission job) {
    add(job);
    if (control.isUnderPressure(job.jobId())) {
      gate.onAnnouncementReply(job.customer(), new PeerReply.AnnouncementReply(true));
    }
  }

  void add(Submission job) {
    ScheduledJob added = new ScheduledJob(new JobProgress(job), true);
    control.onAnnounced(job.jobId());
    backlog.add(added.progress, 1_000);
    if (open.putIfAbsent(job.jobId(), added) == null) {
      added.progress.startDueOccurrences(loop.nowMs());
      backlog.addOccurrences(added.progress);
    }
  }

  private void pass() {
    List<ReadyStep> ready = new ArrayList<>();
    for (ScheduledJob job : open.values()) {
      for (StepProgress step : job.progress.readySteps()) {
        int rank = shareRanks.getOrDefault(customer(job.submission()), 0);
        ready.add(
            new ReadyStep(
                job,
                step,
                Urgency.of(job.submission(), step, loop.nowMs(), RunTimes.DECLARED, rank)));
      }
    }
    ready.sort(Comparator.comparing(ReadyStep::urgency));
    ready.forEach(this::place);
    time.after(PASS_INTERVAL_MS, this::pass);
  }

  private void place(ReadyStep next) {
    String customer = customer(next.job().submission());
    for (TaskProgress task : next.step().tasks()) {
      if (task.phase() != TaskProgress.Phase.IDLE
          || running.getOrDefault(customer, 0)
              >= limits.getOrDefault(customer, Integer.MAX_VALUE)) {
        continue;
      }
      WorkerAllocation free =
          workers.stream().filter(worker -> worker.fits(task, 0)).findFirst().orElse(null);
      if (free == null) {
        return;
      }
      task.place(free.descriptor().id(), task.run() + 1);
      free.reserve(task.id(), task.run(), task.spec());
      running.merge(customer, 1, Integer::sum);
      backlog.onTaskPlaced(next.job(), task);
      time.after(task.spec().estimatedMs(), () -> end(next.job(), task, free));
    }
  }

  private void end(ScheduledJob job, TaskProgress task, WorkerAllocation worker) {
    String customer = customer(job.submission());
    worker.release(task.id(), task.run());
    running.merge(customer, -1, Integer::sum);
    job.progress.recordRunEnd(task, TerminationReason.DONE, "");
    backlog.onTaskReleased(job, task);
    if (job.progress.state().isFinal()) {
      backlog.remove(job.id());
      open.remove(job.id());
      ended.add(job.id());
      long tookMs = loop.nowMs() - job.submission().acceptedAtMs();
      long objectiveMs = job.submission().policy().objectiveMs(task.spec().estimatedMs());
      tally(customer).onTime += tookMs <= objectiveMs ? 1 : 0;
      tally(customer).ended++;
    }
  }

  int openJobs() {
    return open.size();
  }

  @Override
  public Stream<WorkerAllocation> schedulableWorkers() {
    return workers.stream();
  }

  @Override
  public boolean isKnown(String jobId) {
    return open.containsKey(jobId) || ended.contains(jobId);
  }

  @Override
  public boolean hasFreshSubmissions() {
    return fresh;
  }

  @Override
  public long submissionsAgeMs() {
    return 0;
  }
}
