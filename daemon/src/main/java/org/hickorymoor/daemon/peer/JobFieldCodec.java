package org.hickorymoor.daemon.peer;

import java.io.IOException;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.domain.job.TaskStatus;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes jobs and their status. Enums are encoded by name, so their order may change. */
final class JobFieldCodec {

  private static final int SPEC_FIELDS = 12;
  private static final int ANSWER_FIELDS = 7;
  private static final int TASK_FIELDS = 6;

  private JobFieldCodec() {}

  static void writeSpec(MessagePacker out, JobSpec spec) throws IOException {
    out.packArrayHeader(SPEC_FIELDS);
    FieldCodec.writeKey(out, spec.request());
    out.packString(spec.name());
    out.packString(spec.kind().name());
    out.packString(spec.jobClass().name());
    out.packInt(spec.taskCount());
    FieldCodec.writeResources(out, spec.demand());
    out.packLong(spec.declaredRunMs());
    FieldCodec.writeLongString(out, spec.payload());
    out.packBoolean(spec.repeatable());
    out.packString(spec.spread().name());
    out.packLong(spec.startWithinMs());
    FieldCodec.writeNullableString(out, spec.domain());
  }

  static JobSpec readSpec(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, SPEC_FIELDS);
    return new JobSpec(
        FieldCodec.readKey(in),
        in.unpackString(),
        FieldCodec.readEnum(in, JobKind.class),
        FieldCodec.readEnum(in, JobClass.class),
        in.unpackInt(),
        FieldCodec.readResources(in),
        in.unpackLong(),
        in.unpackString(),
        in.unpackBoolean(),
        FieldCodec.readEnum(in, Spread.class),
        in.unpackLong(),
        FieldCodec.readNullableString(in));
  }

  static void writeAnswer(MessagePacker out, JobAnswer answer) throws IOException {
    out.packArrayHeader(ANSWER_FIELDS);
    FieldCodec.writeKey(out, answer.request());
    out.packString(answer.jobId());
    out.packString(answer.state().name());
    out.packString(answer.reason().type().name());
    out.packString(answer.reason().message());
    out.packLong(answer.retryAfterMs());
    FieldCodec.writeList(out, answer.tasks(), JobFieldCodec::writeTask);
  }

  static JobAnswer readAnswer(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, ANSWER_FIELDS);
    return new JobAnswer(
        FieldCodec.readKey(in),
        in.unpackString(),
        FieldCodec.readEnum(in, JobState.class),
        new Reason(FieldCodec.readEnum(in, ReasonType.class), in.unpackString()),
        in.unpackLong(),
        FieldCodec.readList(in, JobFieldCodec::readTask));
  }

  private static void writeTask(MessagePacker out, TaskStatus task) throws IOException {
    out.packArrayHeader(TASK_FIELDS);
    out.packInt(task.index());
    out.packString(task.state().name());
    FieldCodec.writeNullableString(out, task.workerId());
    out.packInt(task.attempts());
    out.packInt(task.exitCode());
    FieldCodec.writeLongString(out, task.output());
  }

  private static TaskStatus readTask(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, TASK_FIELDS);
    return new TaskStatus(
        in.unpackInt(),
        FieldCodec.readEnum(in, JobState.class),
        FieldCodec.readNullableString(in),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackString());
  }
}
