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

/** Packs jobs and what is known of them. Enums travel by name, so their order may change. */
final class JobFields {

  private static final int SPEC_FIELDS = 12;
  private static final int ANSWER_FIELDS = 7;
  private static final int TASK_FIELDS = 6;

  private JobFields() {}

  static void writeSpec(MessagePacker out, JobSpec spec) throws IOException {
    out.packArrayHeader(SPEC_FIELDS);
    Fields.writeKey(out, spec.request());
    out.packString(spec.name());
    out.packString(spec.kind().name());
    out.packString(spec.jobClass().name());
    out.packInt(spec.taskCount());
    Fields.writeResources(out, spec.demand());
    out.packLong(spec.declaredRunMs());
    Fields.writeLongText(out, spec.payload());
    out.packBoolean(spec.repeatable());
    out.packString(spec.spread().name());
    out.packLong(spec.startWithinMs());
    Fields.writeText(out, spec.domain());
  }

  static JobSpec readSpec(MessageUnpacker in) throws IOException {
    TaggedCodec.expectArray(in, SPEC_FIELDS);
    return new JobSpec(
        Fields.readKey(in),
        in.unpackString(),
        Fields.readEnum(in, JobKind.class),
        Fields.readEnum(in, JobClass.class),
        in.unpackInt(),
        Fields.readResources(in),
        in.unpackLong(),
        in.unpackString(),
        in.unpackBoolean(),
        Fields.readEnum(in, Spread.class),
        in.unpackLong(),
        Fields.readText(in));
  }

  static void writeAnswer(MessagePacker out, JobAnswer answer) throws IOException {
    out.packArrayHeader(ANSWER_FIELDS);
    Fields.writeKey(out, answer.request());
    out.packString(answer.jobId());
    out.packString(answer.state().name());
    out.packString(answer.reason().type().name());
    out.packString(answer.reason().message());
    out.packLong(answer.retryAfterMs());
    Fields.writeList(out, answer.tasks(), JobFields::writeTask);
  }

  static JobAnswer readAnswer(MessageUnpacker in) throws IOException {
    TaggedCodec.expectArray(in, ANSWER_FIELDS);
    return new JobAnswer(
        Fields.readKey(in),
        in.unpackString(),
        Fields.readEnum(in, JobState.class),
        new Reason(Fields.readEnum(in, ReasonType.class), in.unpackString()),
        in.unpackLong(),
        Fields.readList(in, JobFields::readTask));
  }

  private static void writeTask(MessagePacker out, TaskStatus task) throws IOException {
    out.packArrayHeader(TASK_FIELDS);
    out.packInt(task.index());
    out.packString(task.state().name());
    Fields.writeText(out, task.workerId());
    out.packInt(task.attempts());
    out.packInt(task.exitCode());
    Fields.writeLongText(out, task.output());
  }

  private static TaskStatus readTask(MessageUnpacker in) throws IOException {
    TaggedCodec.expectArray(in, TASK_FIELDS);
    return new TaskStatus(
        in.unpackInt(),
        Fields.readEnum(in, JobState.class),
        Fields.readText(in),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackString());
  }
}
