package org.hickorymoor.daemon.peer;

import java.io.IOException;
import org.hickorymoor.daemon.peer.PeerReply.ApprovalReply;
import org.hickorymoor.daemon.peer.PeerReply.ConfigReply;
import org.hickorymoor.daemon.peer.PeerReply.DepthReply;
import org.hickorymoor.daemon.peer.PeerReply.Done;
import org.hickorymoor.daemon.peer.PeerReply.ExplainReply;
import org.hickorymoor.daemon.peer.PeerReply.IntentsReply;
import org.hickorymoor.daemon.peer.PeerReply.JobListReply;
import org.hickorymoor.daemon.peer.PeerReply.JobReply;
import org.hickorymoor.daemon.peer.PeerReply.Refused;
import org.hickorymoor.daemon.peer.PeerReply.StatusReply;
import org.hickorymoor.daemon.peer.PeerReply.UnknownJob;
import org.hickorymoor.daemon.peer.PeerReply.WorkerListReply;
import org.hickorymoor.daemon.peer.PeerReply.WorkloadReply;
import org.hickorymoor.daemon.port.ApprovalPort.Approval;
import org.hickorymoor.domain.workload.WorkloadState;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Packs replies. A tag, once given, is never given to another reply. */
final class ReplyCodec {

  private static final int APPROVAL_FIELDS = 2;

  /** Packs every reply. */
  static final TaggedCodec<PeerReply> CODEC =
      new TaggedCodec<PeerReply>()
          .add(
              1,
              RequestCodec.STATUS_FIELDS,
              StatusReply.class,
              (out, reply) -> RequestCodec.writeStatus(out, reply.status()),
              in -> new StatusReply(RequestCodec.readStatus(in)))
          .add(
              2,
              1,
              JobReply.class,
              (out, reply) -> JobFields.writeAnswer(out, reply.answer()),
              in -> new JobReply(JobFields.readAnswer(in)))
          .add(
              3,
              1,
              UnknownJob.class,
              (out, reply) -> Fields.writeKey(out, reply.request()),
              in -> new UnknownJob(Fields.readKey(in)))
          .add(
              4,
              1,
              JobListReply.class,
              (out, reply) -> Fields.writeList(out, reply.jobs(), JobFields::writeAnswer),
              in -> new JobListReply(Fields.readList(in, JobFields::readAnswer)))
          .add(
              5,
              1,
              ExplainReply.class,
              (out, reply) -> Fields.writeTexts(out, reply.lines()),
              in -> new ExplainReply(Fields.readTexts(in)))
          .add(
              6,
              1,
              WorkerListReply.class,
              (out, reply) -> Fields.writeList(out, reply.workers(), Fields::writeWorker),
              in -> new WorkerListReply(Fields.readList(in, Fields::readWorker)))
          .add(7, 2, ConfigReply.class, ReplyCodec::writeConfig, ReplyCodec::readConfig)
          .add(8, 0, Done.class, (out, done) -> {}, in -> new Done())
          .add(9, 2, IntentsReply.class, ReplyCodec::writeIntents, ReplyCodec::readIntents)
          .add(10, 2, Refused.class, ReplyCodec::writeRefused, ReplyCodec::readRefused)
          .add(11, 1, WorkloadReply.class, ReplyCodec::writeWorkload, ReplyCodec::readWorkload)
          .add(
              12,
              1,
              DepthReply.class,
              (out, reply) -> out.packInt(reply.waiting()),
              in -> new DepthReply(in.unpackInt()))
          .add(
              13,
              1,
              ApprovalReply.class,
              (out, reply) -> Fields.writeList(out, reply.approvals(), ReplyCodec::writeApproval),
              in -> new ApprovalReply(Fields.readList(in, ReplyCodec::readApproval)));

  private ReplyCodec() {}

  private static void writeConfig(MessagePacker out, ConfigReply reply) throws IOException {
    out.packLong(reply.endOffset());
    Fields.writeList(out, reply.records(), Fields::writeRecord);
  }

  private static ConfigReply readConfig(MessageUnpacker in) throws IOException {
    return new ConfigReply(in.unpackLong(), Fields.readList(in, Fields::readRecord));
  }

  private static void writeIntents(MessagePacker out, IntentsReply reply) throws IOException {
    out.packBoolean(reply.complete());
    Fields.writeTexts(out, reply.entries());
  }

  private static IntentsReply readIntents(MessageUnpacker in) throws IOException {
    return new IntentsReply(in.unpackBoolean(), Fields.readTexts(in));
  }

  private static void writeRefused(MessagePacker out, Refused reply) throws IOException {
    out.packString(reply.type().name());
    out.packString(reply.message());
  }

  private static Refused readRefused(MessageUnpacker in) throws IOException {
    return new Refused(Fields.readEnum(in, PeerErrorType.class), in.unpackString());
  }

  private static void writeWorkload(MessagePacker out, WorkloadReply reply) throws IOException {
    WorkloadState state = reply.state();
    Fields.writeText(out, state == null ? null : state.name());
  }

  private static WorkloadReply readWorkload(MessageUnpacker in) throws IOException {
    String name = Fields.readText(in);
    return new WorkloadReply(name == null ? null : WorkloadState.valueOf(name));
  }

  private static void writeApproval(MessagePacker out, Approval approval) throws IOException {
    out.packArrayHeader(APPROVAL_FIELDS);
    out.packString(approval.workerId());
    out.packString(approval.ticket());
  }

  private static Approval readApproval(MessageUnpacker in) throws IOException {
    TaggedCodec.expectArray(in, APPROVAL_FIELDS);
    return new Approval(in.unpackString(), in.unpackString());
  }
}
