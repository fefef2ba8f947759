package org.hickorymoor.daemon.peer;

import java.io.IOException;
import org.hickorymoor.daemon.peer.PeerReply.AdmissionReply;
import org.hickorymoor.daemon.peer.PeerReply.AnnouncementReply;
import org.hickorymoor.daemon.peer.PeerReply.ApprovalReply;
import org.hickorymoor.daemon.peer.PeerReply.CellConfigReply;
import org.hickorymoor.daemon.peer.PeerReply.ConfigReply;
import org.hickorymoor.daemon.peer.PeerReply.Done;
import org.hickorymoor.daemon.peer.PeerReply.ExplainReply;
import org.hickorymoor.daemon.peer.PeerReply.IntentsReply;
import org.hickorymoor.daemon.peer.PeerReply.JobListReply;
import org.hickorymoor.daemon.peer.PeerReply.JobReply;
import org.hickorymoor.daemon.peer.PeerReply.PlacementReply;
import org.hickorymoor.daemon.peer.PeerReply.QueueDepthReply;
import org.hickorymoor.daemon.peer.PeerReply.Refused;
import org.hickorymoor.daemon.peer.PeerReply.StatusReply;
import org.hickorymoor.daemon.peer.PeerReply.UnknownJob;
import org.hickorymoor.daemon.peer.PeerReply.WorkerListReply;
import org.hickorymoor.daemon.peer.PeerReply.WorkloadReply;
import org.hickorymoor.daemon.port.ApprovalPort.Approval;
import org.hickorymoor.domain.workload.WorkloadState;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack codec for replies. A tag that was ever used must not be assigned to another reply.
 */
final class ReplyCodec {

  private static final int APPROVAL_FIELDS = 2;

  /** Codec for all reply types. */
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
              (out, reply) -> JobFieldCodec.writeAnswer(out, reply.answer()),
              in -> new JobReply(JobFieldCodec.readAnswer(in)))
          .add(
              3,
              1,
              UnknownJob.class,
              (out, reply) -> FieldCodec.writeKey(out, reply.request()),
              in -> new UnknownJob(FieldCodec.readKey(in)))
          .add(
              4,
              1,
              JobListReply.class,
              (out, reply) -> FieldCodec.writeList(out, reply.jobs(), JobFieldCodec::writeAnswer),
              in -> new JobListReply(FieldCodec.readList(in, JobFieldCodec::readAnswer)))
          .add(
              5,
              1,
              ExplainReply.class,
              (out, reply) -> FieldCodec.writeStringList(out, reply.lines()),
              in -> new ExplainReply(FieldCodec.readStringList(in)))
          .add(
              6,
              1,
              WorkerListReply.class,
              (out, reply) -> FieldCodec.writeList(out, reply.workers(), FieldCodec::writeWorker),
              in -> new WorkerListReply(FieldCodec.readList(in, FieldCodec::readWorker)))
          .add(7, 2, ConfigReply.class, ReplyCodec::writeConfig, ReplyCodec::readConfig)
          .add(8, 0, Done.class, (out, done) -> {}, in -> new Done())
          .add(9, 2, IntentsReply.class, ReplyCodec::writeIntents, ReplyCodec::readIntents)
          .add(10, 2, Refused.class, ReplyCodec::writeRefused, ReplyCodec::readRefused)
          .add(11, 1, WorkloadReply.class, ReplyCodec::writeWorkload, ReplyCodec::readWorkload)
          .add(
              12,
              1,
              QueueDepthReply.class,
              (out, reply) -> out.packInt(reply.waiting()),
              in -> new QueueDepthReply(in.unpackInt()))
          .add(
              13,
              1,
              ApprovalReply.class,
              (out, reply) ->
                  FieldCodec.writeList(out, reply.approvals(), ReplyCodec::writeApproval),
              in -> new ApprovalReply(FieldCodec.readList(in, ReplyCodec::readApproval)))
          .add(
              24,
              3,
              CellConfigReply.class,
              ReplyCodec::writeCellConfig,
              in ->
                  new CellConfigReply(in.unpackLong(), in.unpackLong(), RequestCodec.readBytes(in)))
          .add(
              15,
              1,
              AnnouncementReply.class,
              (out, reply) -> out.packBoolean(reply.underPressure()),
              in -> new AnnouncementReply(in.unpackBoolean()))
          .add(16, 3, AdmissionReply.class, ReplyCodec::writeAdmission, ReplyCodec::readAdmission)
          .add(
              28,
              PlacementReportCodec.FIELDS,
              PlacementReply.class,
              (out, reply) -> PlacementReportCodec.write(out, reply.report()),
              in -> new PlacementReply(PlacementReportCodec.read(in)));

  private ReplyCodec() {}

  private static void writeConfig(MessagePacker out, ConfigReply reply) throws IOException {
    out.packLong(reply.endOffset());
    FieldCodec.writeList(out, reply.records(), FieldCodec::writeRecord);
  }

  private static ConfigReply readConfig(MessageUnpacker in) throws IOException {
    return new ConfigReply(in.unpackLong(), FieldCodec.readList(in, FieldCodec::readRecord));
  }

  private static void writeCellConfig(MessagePacker out, CellConfigReply reply) throws IOException {
    out.packLong(reply.offset());
    out.packLong(reply.confirmedAgeMs());
    RequestCodec.writeBytes(out, reply.record());
  }

  private static void writeIntents(MessagePacker out, IntentsReply reply) throws IOException {
    out.packBoolean(reply.complete());
    FieldCodec.writeStringList(out, reply.entries());
  }

  private static IntentsReply readIntents(MessageUnpacker in) throws IOException {
    return new IntentsReply(in.unpackBoolean(), FieldCodec.readStringList(in));
  }

  private static void writeRefused(MessagePacker out, Refused reply) throws IOException {
    out.packString(reply.type().name());
    out.packString(reply.message());
  }

  private static Refused readRefused(MessageUnpacker in) throws IOException {
    return new Refused(FieldCodec.readEnum(in, PeerErrorType.class), in.unpackString());
  }

  private static void writeWorkload(MessagePacker out, WorkloadReply reply) throws IOException {
    WorkloadState state = reply.state();
    FieldCodec.writeNullableString(out, state == null ? null : state.name());
  }

  private static WorkloadReply readWorkload(MessageUnpacker in) throws IOException {
    String name = FieldCodec.readNullableString(in);
    return new WorkloadReply(name == null ? null : WorkloadState.valueOf(name));
  }

  private static void writeAdmission(MessagePacker out, AdmissionReply reply) throws IOException {
    out.packBoolean(reply.admitted());
    out.packLong(reply.retryAfterMs());
    out.packString(reply.reason());
  }

  private static AdmissionReply readAdmission(MessageUnpacker in) throws IOException {
    return new AdmissionReply(in.unpackBoolean(), in.unpackLong(), in.unpackString());
  }

  private static void writeApproval(MessagePacker out, Approval approval) throws IOException {
    out.packArrayHeader(APPROVAL_FIELDS);
    out.packString(approval.workerId());
    out.packString(approval.ticket());
  }

  private static Approval readApproval(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, APPROVAL_FIELDS);
    return new Approval(in.unpackString(), in.unpackString());
  }
}
