package org.hickorymoor.daemon.shard;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.ApprovalPolicy;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepProgress;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskId;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.hickorymoor.domain.workload.WorkloadState;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes submissions and the progress of jobs as records of the store, in MessagePack.
 *
 * <p>A record starts with its format version, so that hosts which still run this version can
 * recognize records of later ones.
 */
final class WorkloadCodec {

  private static final int FORMAT = 1;

  private static final int CHECKPOINTING = 1;
  private static final int GANG = 2;
  private static final int SAME_RACK = 4;
  private static final int ALLOWS_DUPLICATES = 8;
  private static final int LONG_RUNNING = 16;
  private static final int BEST_EFFORT = 32;

  /** Writes the fields that follow the format version. */
  @FunctionalInterface
  private interface Body {
    void write(MessagePacker out) throws IOException;
  }

  private WorkloadCodec() {}

  static byte[] encode(Submission submission) {
    return pack(
        out -> {
          out.packString(submission.jobId());
          out.packLong(submission.acceptedAtMs());
          writePolicy(out, submission.policy());
          writeSpec(out, submission.spec());
          writeCustomer(out, submission.customer());
        });
  }

  static Submission decodeSubmission(byte[] packed) throws MalformedRecordException {
    try (MessageUnpacker in = open(packed)) {
      return new Submission(
          in.unpackString(), in.unpackLong(), readPolicy(in), readSpec(in), readCustomer(in));
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new MalformedRecordException("submission", e);
    }
  }

  /**
   * Writes the customer after all else; readers of earlier versions ignore it. A job without one
   * has the same record as in earlier versions.
   */
  private static void writeCustomer(MessagePacker out, @Nullable CustomerPolicy customer)
      throws IOException {
    if (customer != null) {
      out.packString(customer.name());
      out.packDouble(customer.weight());
      out.packInt(customer.limit().cpuMillis());
      out.packInt(customer.limit().memoryMb());
      out.packInt(customer.limit().accelerators());
    }
  }

  private static @Nullable CustomerPolicy readCustomer(MessageUnpacker in) throws IOException {
    if (!in.hasNext()) {
      return null;
    }
    return new CustomerPolicy(
        in.unpackString(),
        in.unpackDouble(),
        new Resources(0, 0, in.unpackInt(), in.unpackInt(), in.unpackInt()));
  }

  private static void writePolicy(MessagePacker out, QueuePolicy policy) throws IOException {
    out.packString(policy.queue());
    out.packString(policy.service());
    out.packInt(policy.priority());
    out.packInt(policy.maxAttempts());
    out.packDouble(policy.stretch());
    out.packLong(policy.targetLatencyMs());
    ApprovalPolicy advice = policy.approval();
    out.packBoolean(advice != null);
    if (advice != null) {
      out.packDouble(advice.decisionMs());
      out.packDouble(advice.perWorkerMs());
      out.packDouble(advice.validityMs());
    }
  }

  private static QueuePolicy readPolicy(MessageUnpacker in) throws IOException {
    return new QueuePolicy(
        in.unpackString(),
        in.unpackString(),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackDouble(),
        in.unpackLong(),
        in.unpackBoolean()
            ? new ApprovalPolicy(in.unpackDouble(), in.unpackDouble(), in.unpackDouble())
            : null);
  }

  private static void writeSpec(MessagePacker out, WorkloadSpec spec) throws IOException {
    out.packString(spec.payload());
    out.packInt(spec.repetitions());
    out.packLong(spec.firstRunMs());
    out.packLong(spec.intervalMs());
    out.packArrayHeader(spec.steps().size());
    for (StepSpec step : spec.steps()) {
      writeStep(out, step);
    }
  }

  private static WorkloadSpec readSpec(MessageUnpacker in) throws IOException {
    String payload = in.unpackString();
    int repetitions = in.unpackInt();
    long firstRunMs = in.unpackLong();
    long intervalMs = in.unpackLong();
    int count = in.unpackArrayHeader();
    List<StepSpec> steps = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      steps.add(readStep(in));
    }
    return new WorkloadSpec(payload, steps, repetitions, firstRunMs, intervalMs);
  }

  private static void writeStep(MessagePacker out, StepSpec step) throws IOException {
    out.packInt(step.count());
    out.packInt(step.cpuMillis());
    out.packInt(step.memoryMb());
    out.packInt(step.accelerators());
    out.packLong(step.estimatedMs());
    out.packArrayHeader(step.dependencies().size());
    for (int earlier : step.dependencies()) {
      out.packInt(earlier);
    }
    out.packInt(flags(step));
    writeText(out, step.requiredLabel());
    writeText(out, step.dataRack());
    out.packInt(step.maxPerWorker());
    out.packString(step.image());
    out.packLong(step.responseTimeTargetMs());
    out.packInt(step.maxUnavailable());
  }

  private static StepSpec readStep(MessageUnpacker in) throws IOException {
    int count = in.unpackInt();
    int cpuMillis = in.unpackInt();
    int memoryMb = in.unpackInt();
    int accelerators = in.unpackInt();
    long estimatedMs = in.unpackLong();
    int size = in.unpackArrayHeader();
    List<Integer> after = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      after.add(in.unpackInt());
    }
    int flags = in.unpackInt();
    String requiredLabel = readText(in);
    String dataRack = readText(in);
    int maxPerWorker = in.unpackInt();
    String image = in.unpackString();
    long targetMs = in.unpackLong();
    int maxUnavailable = in.unpackInt();
    return new StepSpec(
        count,
        cpuMillis,
        memoryMb,
        accelerators,
        estimatedMs,
        after,
        (flags & CHECKPOINTING) != 0,
        (flags & GANG) != 0,
        (flags & SAME_RACK) != 0,
        requiredLabel,
        dataRack,
        maxPerWorker,
        (flags & ALLOWS_DUPLICATES) != 0,
        (flags & LONG_RUNNING) != 0,
        image,
        targetMs,
        (flags & BEST_EFFORT) != 0,
        maxUnavailable);
  }

  private static int flags(StepSpec step) {
    return (step.checkpointing() ? CHECKPOINTING : 0)
        | (step.gang() ? GANG : 0)
        | (step.sameRack() ? SAME_RACK : 0)
        | (step.allowsDuplicates() ? ALLOWS_DUPLICATES : 0)
        | (step.longRunning() ? LONG_RUNNING : 0)
        | (step.bestEffort() ? BEST_EFFORT : 0);
  }

  /** Encodes the progress of a job; tasks that were never placed are omitted. */
  static byte[] encodeProgress(JobProgress job) {
    return pack(
        out -> {
          out.packString(job.state().name());
          if (job.state().isFinal() && job.placedTasks().isEmpty()) {
            out.packArrayHeader(0);
            return;
          }
          List<StepProgress> steps = new ArrayList<>();
          job.occurrences().values().forEach(steps::addAll);
          out.packArrayHeader(steps.size());
          for (StepProgress step : steps) {
            writeStepProgress(out, step);
          }
          writeWorkerCrashes(out, steps);
        });
  }

  /** Writes the crashes after all else; readers of earlier versions ignore the lists at the end. */
  private static void writeWorkerCrashes(MessagePacker out, List<StepProgress> steps)
      throws IOException {
    List<TaskProgress> crashed =
        steps.stream()
            .flatMap(step -> step.tasks().stream())
            .filter(task -> task.suspectedCrashes() > 0)
            .toList();
    out.packArrayHeader(crashed.size());
    for (TaskProgress task : crashed) {
      out.packInt(task.id().occurrence());
      out.packInt(task.id().step());
      out.packInt(task.id().index());
      out.packInt(task.suspectedCrashes());
      out.packInt(task.confirmedCrashes());
    }
    out.packArrayHeader(crashed.size());
    for (TaskProgress task : crashed) {
      out.packInt(task.crashWeight());
    }
  }

  private static void writeStepProgress(MessagePacker out, StepProgress step) throws IOException {
    out.packInt(step.tasks().get(0).id().occurrence());
    out.packInt(step.index());
    out.packInt(step.failedGangRuns());
    out.packInt(step.lastFailedGangRun());
    List<TaskProgress> placedBefore =
        step.tasks().stream().filter(TaskProgress::hasBeenPlaced).toList();
    out.packArrayHeader(placedBefore.size());
    for (TaskProgress task : placedBefore) {
      out.packInt(task.id().index());
      out.packInt(task.phase().ordinal());
      out.packInt(task.run());
      out.packInt(task.failures());
      out.packString(task.phase() == TaskProgress.Phase.DONE ? "" : task.checkpoint());
      writeText(out, task.workerId());
    }
  }

  /** Decodes only the state of the job from its progress. */
  static WorkloadState decodeState(byte[] packed) throws MalformedRecordException {
    try (MessageUnpacker in = open(packed)) {
      return WorkloadState.valueOf(in.unpackString());
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new MalformedRecordException("progress", e);
    }
  }

  /** Restores stored progress into a new job. */
  static void restore(JobProgress job, byte[] packed) throws MalformedRecordException {
    try (MessageUnpacker in = open(packed)) {
      job.restore(WorkloadState.valueOf(in.unpackString()));
      int stepCount = in.unpackArrayHeader();
      for (int i = 0; i < stepCount; i++) {
        restoreStep(job, in);
      }
      if (in.hasNext()) {
        restoreWorkerCrashes(job, in);
      }
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new MalformedRecordException("progress", e);
    }
  }

  private static void restoreStep(JobProgress job, MessageUnpacker in)
      throws IOException, MalformedRecordException {
    int occurrence = in.unpackInt();
    int number = in.unpackInt();
    List<StepProgress> steps = job.steps(occurrence);
    if (number < 0 || number >= steps.size()) {
      throw new MalformedRecordException(
          "expected a step number below " + steps.size() + ", got " + number, null);
    }
    steps.get(number).restoreGangFailures(in.unpackInt(), in.unpackInt());
    int taskCount = in.unpackArrayHeader();
    for (int i = 0; i < taskCount; i++) {
      TaskId id = new TaskId(job.submission().jobId(), occurrence, number, in.unpackInt());
      TaskProgress task = job.task(id);
      TaskProgress.Phase phase = phase(in.unpackInt());
      int run = in.unpackInt();
      int failures = in.unpackInt();
      String checkpoint = in.unpackString();
      String worker = readText(in);
      if (task == null) {
        throw new MalformedRecordException("progress of unknown task " + id, null);
      }
      task.restore(phase, run, failures, checkpoint, worker);
    }
  }

  private static void restoreWorkerCrashes(JobProgress job, MessageUnpacker in)
      throws IOException, MalformedRecordException {
    int taskCount = in.unpackArrayHeader();
    List<TaskProgress> crashed = new ArrayList<>();
    for (int i = 0; i < taskCount; i++) {
      TaskId id =
          new TaskId(job.submission().jobId(), in.unpackInt(), in.unpackInt(), in.unpackInt());
      TaskProgress task = job.task(id);
      int suspected = in.unpackInt();
      int confirmed = in.unpackInt();
      if (task == null) {
        throw new MalformedRecordException("crashes of unknown task " + id, null);
      }
      task.restoreCrashes(suspected, confirmed, confirmed);
      crashed.add(task);
    }
    if (!in.hasNext()) {
      return;
    }
    int weightCount = in.unpackArrayHeader();
    if (weightCount != taskCount) {
      throw new MalformedRecordException(
          "expected weights of " + taskCount + " crashed tasks, got " + weightCount, null);
    }
    for (TaskProgress task : crashed) {
      task.restoreCrashes(task.suspectedCrashes(), task.confirmedCrashes(), in.unpackInt());
    }
  }

  private static TaskProgress.Phase phase(int number) throws MalformedRecordException {
    TaskProgress.Phase[] phases = TaskProgress.Phase.values();
    if (number < 0 || number >= phases.length) {
      throw new MalformedRecordException(
          "expected a phase number below " + phases.length + ", got " + number, null);
    }
    return phases[number];
  }

  private static void writeText(MessagePacker out, @Nullable String text) throws IOException {
    if (text == null) {
      out.packNil();
    } else {
      out.packString(text);
    }
  }

  private static @Nullable String readText(MessageUnpacker in) throws IOException {
    return in.tryUnpackNil() ? null : in.unpackString();
  }

  private static byte[] pack(Body body) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(FORMAT);
      body.write(out);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory failed with an I/O error", e);
    }
  }

  private static MessageUnpacker open(byte[] packed) throws IOException, MalformedRecordException {
    MessageUnpacker in = MessagePack.newDefaultUnpacker(packed);
    int format = in.unpackInt();
    if (format != FORMAT) {
      throw new MalformedRecordException(
          "expected record format " + FORMAT + ", got " + format, null);
    }
    return in;
  }
}
