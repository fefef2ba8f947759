package org.hickorymoor.daemon.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.hickorymoor.daemon.peer.PeerRequest.AdmitSubmission;
import org.hickorymoor.daemon.peer.PeerRequest.AnnounceSubmission;
import org.hickorymoor.daemon.peer.PeerRequest.AskApproval;
import org.hickorymoor.daemon.peer.PeerRequest.CancelJob;
import org.hickorymoor.daemon.peer.PeerRequest.DrainWorker;
import org.hickorymoor.daemon.peer.PeerRequest.ExplainJob;
import org.hickorymoor.daemon.peer.PeerRequest.FetchConfig;
import org.hickorymoor.daemon.peer.PeerRequest.FetchIntents;
import org.hickorymoor.daemon.peer.PeerRequest.GetCellConfig;
import org.hickorymoor.daemon.peer.PeerRequest.GetJob;
import org.hickorymoor.daemon.peer.PeerRequest.GetQueueDepth;
import org.hickorymoor.daemon.peer.PeerRequest.GetWorkload;
import org.hickorymoor.daemon.peer.PeerRequest.ListJobs;
import org.hickorymoor.daemon.peer.PeerRequest.ListWorkers;
import org.hickorymoor.daemon.peer.PeerRequest.PreviewPlacement;
import org.hickorymoor.daemon.peer.PeerRequest.RelaySubmission;
import org.hickorymoor.daemon.peer.PeerRequest.RequestTakeover;
import org.hickorymoor.daemon.peer.PeerRequest.Status;
import org.hickorymoor.daemon.peer.PeerRequest.StoreIntent;
import org.hickorymoor.daemon.peer.PeerRequest.SubmitJob;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack codec for requests. A tag that was ever used must not be assigned to another request.
 */
final class RequestCodec {

  /** Number of fields of a status, which is also sent in replies. */
  static final int STATUS_FIELDS = 7;

  /** Codec for all request types. */
  static final TaggedCodec<PeerRequest> CODEC =
      new TaggedCodec<PeerRequest>()
          .add(1, STATUS_FIELDS, Status.class, RequestCodec::writeStatus, RequestCodec::readStatus)
          .add(2, 4, SubmitJob.class, RequestCodec::writeSubmit, RequestCodec::readSubmit)
          .add(3, 2, GetJob.class, RequestCodec::writeGet, RequestCodec::readGet)
          .add(4, 2, CancelJob.class, RequestCodec::writeCancel, RequestCodec::readCancel)
          .add(5, 2, ListJobs.class, RequestCodec::writeListJobs, RequestCodec::readListJobs)
          .add(
              6,
              1,
              ExplainJob.class,
              (out, explain) -> FieldCodec.writeKey(out, explain.request()),
              in -> new ExplainJob(FieldCodec.readKey(in)))
          .add(7, 0, ListWorkers.class, (out, list) -> {}, in -> new ListWorkers())
          .add(8, 2, FetchConfig.class, RequestCodec::writeFetch, RequestCodec::readFetch)
          .add(9, 3, DrainWorker.class, RequestCodec::writeDrain, RequestCodec::readDrain)
          .add(10, 2, StoreIntent.class, RequestCodec::writeStore, RequestCodec::readStore)
          .add(
              11,
              1,
              FetchIntents.class,
              (out, fetch) -> out.packString(fetch.domain()),
              in -> new FetchIntents(in.unpackString()))
          .add(12, 2, RelaySubmission.class, RequestCodec::writeRelay, RequestCodec::readRelay)
          .add(
              16,
              3,
              AnnounceSubmission.class,
              RequestCodec::writeAnnounce,
              RequestCodec::readAnnounce)
          .add(
              13,
              1,
              GetWorkload.class,
              (out, get) -> out.packString(get.jobId()),
              in -> new GetWorkload(in.unpackString()))
          .add(
              14,
              1,
              GetQueueDepth.class,
              (out, get) -> out.packString(get.queue()),
              in -> new GetQueueDepth(in.unpackString()))
          .add(15, 3, AskApproval.class, RequestCodec::writeAsk, RequestCodec::readAsk)
          .add(
              17,
              2,
              RequestTakeover.class,
              RequestCodec::writeTakeover,
              in -> new RequestTakeover(in.unpackLong(), in.unpackLong()))
          .add(
              24,
              2,
              GetCellConfig.class,
              RequestCodec::writeGetCellConfig,
              in -> new GetCellConfig(in.unpackLong(), in.unpackString()))
          .add(19, 9, AdmitSubmission.class, RequestCodec::writeAdmit, RequestCodec::readAdmit)
          .add(
              28,
              2,
              PreviewPlacement.class,
              RequestCodec::writePreview,
              in -> new PreviewPlacement(readBytes(in), FieldCodec.readNullableString(in)));

  private RequestCodec() {}

  private static void writeRelay(MessagePacker out, RelaySubmission relay) throws IOException {
    out.packString(relay.key());
    writeBytes(out, relay.value());
  }

  private static RelaySubmission readRelay(MessageUnpacker in) throws IOException {
    return new RelaySubmission(in.unpackString(), readBytes(in));
  }

  private static void writeTakeover(MessagePacker out, RequestTakeover takeover)
      throws IOException {
    out.packLong(takeover.epoch());
    out.packLong(takeover.confirmedOffset());
  }

  private static void writeAnnounce(MessagePacker out, AnnounceSubmission announced)
      throws IOException {
    out.packString(announced.key());
    writeBytes(out, announced.value());
    out.packBoolean(announced.stored());
  }

  private static AnnounceSubmission readAnnounce(MessageUnpacker in) throws IOException {
    return new AnnounceSubmission(in.unpackString(), readBytes(in), in.unpackBoolean());
  }

  private static void writeGetCellConfig(MessagePacker out, GetCellConfig get) throws IOException {
    out.packLong(get.knownOffset());
    out.packString(get.senderAddress());
  }

  private static void writePreview(MessagePacker out, PreviewPlacement preview) throws IOException {
    writeBytes(out, preview.submission());
    FieldCodec.writeNullableString(out, preview.customer());
  }

  private static void writeAdmit(MessagePacker out, AdmitSubmission admit) throws IOException {
    out.packString(admit.jobId());
    out.packString(admit.customer());
    out.packString(admit.queue());
    out.packString(admit.service());
    out.packInt(admit.priority());
    out.packLong(admit.coreMs());
    out.packLong(admit.criticalPathMs());
    out.packLong(admit.usefulWithinMs());
    out.packInt(admit.bytes());
  }

  private static AdmitSubmission readAdmit(MessageUnpacker in) throws IOException {
    return new AdmitSubmission(
        in.unpackString(),
        in.unpackString(),
        in.unpackString(),
        in.unpackString(),
        in.unpackInt(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackInt());
  }

  static void writeBytes(MessagePacker out, ByteBuffer bytes) throws IOException {
    byte[] value = ByteBuffers.copyRemaining(bytes);
    out.packBinaryHeader(value.length);
    out.writePayload(value);
  }

  static ByteBuffer readBytes(MessageUnpacker in) throws IOException {
    return ByteBuffer.wrap(in.readPayload(in.unpackBinaryHeader()));
  }

  private static void writeAsk(MessagePacker out, AskApproval ask) throws IOException {
    out.packString(ask.step());
    FieldCodec.writeStringList(out, ask.workerIds());
    out.packLong(ask.timeoutMs());
  }

  private static AskApproval readAsk(MessageUnpacker in) throws IOException {
    return new AskApproval(in.unpackString(), FieldCodec.readStringList(in), in.unpackLong());
  }

  static void writeStatus(MessagePacker out, Status status) throws IOException {
    out.packString(status.hostId());
    out.packString(status.incarnation());
    out.packString(status.domain());
    out.packBoolean(status.coordinator());
    out.packInt(status.workersOwned());
    out.packLong(status.configOffset());
    out.packBoolean(status.leaving());
  }

  static Status readStatus(MessageUnpacker in) throws IOException {
    return new Status(
        in.unpackString(),
        in.unpackString(),
        in.unpackString(),
        in.unpackBoolean(),
        in.unpackInt(),
        in.unpackLong(),
        in.unpackBoolean());
  }

  private static void writeSubmit(MessagePacker out, SubmitJob submit) throws IOException {
    out.packString(submit.jobId());
    out.packString(submit.entryHostId());
    JobFieldCodec.writeSpec(out, submit.spec());
    out.packLong(submit.waitMs());
  }

  private static SubmitJob readSubmit(MessageUnpacker in) throws IOException {
    return new SubmitJob(
        in.unpackString(), in.unpackString(), JobFieldCodec.readSpec(in), in.unpackLong());
  }

  private static void writeGet(MessagePacker out, GetJob get) throws IOException {
    FieldCodec.writeKey(out, get.request());
    out.packLong(get.waitMs());
  }

  private static GetJob readGet(MessageUnpacker in) throws IOException {
    return new GetJob(FieldCodec.readKey(in), in.unpackLong());
  }

  private static void writeCancel(MessagePacker out, CancelJob cancel) throws IOException {
    FieldCodec.writeKey(out, cancel.request());
    out.packString(cancel.actor());
  }

  private static CancelJob readCancel(MessageUnpacker in) throws IOException {
    return new CancelJob(FieldCodec.readKey(in), in.unpackString());
  }

  private static void writeListJobs(MessagePacker out, ListJobs list) throws IOException {
    FieldCodec.writeNullableString(out, list.team());
    out.packInt(list.limit());
  }

  private static ListJobs readListJobs(MessageUnpacker in) throws IOException {
    return new ListJobs(FieldCodec.readNullableString(in), in.unpackInt());
  }

  private static void writeFetch(MessagePacker out, FetchConfig fetch) throws IOException {
    out.packLong(fetch.afterOffset());
    out.packInt(fetch.maxRecords());
  }

  private static FetchConfig readFetch(MessageUnpacker in) throws IOException {
    return new FetchConfig(in.unpackLong(), in.unpackInt());
  }

  private static void writeDrain(MessagePacker out, DrainWorker drain) throws IOException {
    out.packString(drain.workerId());
    out.packBoolean(drain.drain());
    out.packString(drain.actor());
  }

  private static DrainWorker readDrain(MessageUnpacker in) throws IOException {
    return new DrainWorker(in.unpackString(), in.unpackBoolean(), in.unpackString());
  }

  private static void writeStore(MessagePacker out, StoreIntent store) throws IOException {
    out.packString(store.domain());
    FieldCodec.writeStringList(out, store.entries());
  }

  private static StoreIntent readStore(MessageUnpacker in) throws IOException {
    return new StoreIntent(in.unpackString(), FieldCodec.readStringList(in));
  }
}
