package org.hickorymoor.daemon.peer;

import java.io.IOException;
import org.hickorymoor.daemon.peer.PlacementReport.Amounts;
import org.hickorymoor.daemon.peer.PlacementReport.Basis;
import org.hickorymoor.daemon.peer.PlacementReport.CostPart;
import org.hickorymoor.daemon.peer.PlacementReport.CustomerStanding;
import org.hickorymoor.daemon.peer.PlacementReport.StepFit;
import org.hickorymoor.daemon.peer.PlacementReport.StepTime;
import org.hickorymoor.daemon.peer.PlacementReport.Timing;
import org.hickorymoor.daemon.peer.PlacementReport.Unfit;
import org.hickorymoor.daemon.peer.PlacementReport.WorkerCost;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes the parts of a placement report. */
final class PlacementReportCodec {

  /** Number of fields of a report. */
  static final int FIELDS = 7;

  private PlacementReportCodec() {}

  static void write(MessagePacker out, PlacementReport report) throws IOException {
    writeBasis(out, report.basis());
    FieldCodec.writeStringList(out, report.refusals());
    FieldCodec.writeStringList(out, report.notes());
    CustomerStanding customer = report.customer();
    if (customer == null) {
      out.packNil();
    } else {
      writeCustomerStanding(out, customer);
    }
    writeTiming(out, report.timing());
    out.packInt(report.stepsBefore());
    FieldCodec.writeList(out, report.steps(), PlacementReportCodec::writeStepFit);
  }

  static PlacementReport read(MessageUnpacker in) throws IOException {
    return new PlacementReport(
        readBasis(in),
        FieldCodec.readStringList(in),
        FieldCodec.readStringList(in),
        in.tryUnpackNil() ? null : readCustomerStanding(in),
        readTiming(in),
        in.unpackInt(),
        FieldCodec.readList(in, PlacementReportCodec::readStepFit));
  }

  private static void writeBasis(MessagePacker out, Basis value) throws IOException {
    out.packArrayHeader(3);
    out.packLong(value.epoch());
    out.packLong(value.configVersion());
    out.packLong(value.submissionsAgeMs());
  }

  private static Basis readBasis(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, 3);
    return new Basis(in.unpackLong(), in.unpackLong(), in.unpackLong());
  }

  private static void writeAmounts(MessagePacker out, Amounts value) throws IOException {
    out.packArrayHeader(3);
    out.packLong(value.cpuMillis());
    out.packLong(value.memoryMb());
    out.packLong(value.accelerators());
  }

  private static Amounts readAmounts(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, 3);
    return new Amounts(in.unpackLong(), in.unpackLong(), in.unpackLong());
  }

  private static void writeCustomerStanding(MessagePacker out, CustomerStanding value)
      throws IOException {
    out.packArrayHeader(6);
    out.packString(value.name());
    writeAmounts(out, value.limit());
    writeAmounts(out, value.used());
    out.packLong(value.averageShareMillionths());
    out.packLong(value.entitledShareMillionths());
    out.packInt(value.rank());
  }

  private static CustomerStanding readCustomerStanding(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, 6);
    return new CustomerStanding(
        in.unpackString(),
        readAmounts(in),
        readAmounts(in),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackInt());
  }

  private static void writeTiming(MessagePacker out, Timing value) throws IOException {
    out.packArrayHeader(4);
    FieldCodec.writeList(out, value.steps(), PlacementReportCodec::writeStepTime);
    out.packLong(value.criticalPathMs());
    out.packLong(value.objectiveMs());
    out.packString(value.timeliness());
  }

  private static Timing readTiming(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, 4);
    return new Timing(
        FieldCodec.readList(in, PlacementReportCodec::readStepTime),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackString());
  }

  private static void writeStepTime(MessagePacker out, StepTime value) throws IOException {
    out.packArrayHeader(3);
    out.packInt(value.step());
    out.packLong(value.expectedMs());
    out.packLong(value.estimatedMs());
  }

  private static StepTime readStepTime(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, 3);
    return new StepTime(in.unpackInt(), in.unpackLong(), in.unpackLong());
  }

  private static void writeStepFit(MessagePacker out, StepFit value) throws IOException {
    out.packArrayHeader(8);
    out.packInt(value.step());
    out.packInt(value.tasks());
    out.packInt(value.permitted());
    out.packInt(value.workers());
    out.packInt(value.fitNow());
    out.packInt(value.fitEmpty());
    FieldCodec.writeList(out, value.unfit(), PlacementReportCodec::writeUnfit);
    FieldCodec.writeList(out, value.best(), PlacementReportCodec::writeWorkerCost);
  }

  private static StepFit readStepFit(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, 8);
    return new StepFit(
        in.unpackInt(),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackInt(),
        FieldCodec.readList(in, PlacementReportCodec::readUnfit),
        FieldCodec.readList(in, PlacementReportCodec::readWorkerCost));
  }

  private static void writeUnfit(MessagePacker out, Unfit value) throws IOException {
    out.packArrayHeader(2);
    out.packString(value.reason());
    out.packInt(value.workers());
  }

  private static Unfit readUnfit(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, 2);
    return new Unfit(in.unpackString(), in.unpackInt());
  }

  private static void writeWorkerCost(MessagePacker out, WorkerCost value) throws IOException {
    out.packArrayHeader(4);
    out.packString(value.worker());
    out.packString(value.rack());
    out.packLong(value.costThousandths());
    FieldCodec.writeList(out, value.parts(), PlacementReportCodec::writeCostPart);
  }

  private static WorkerCost readWorkerCost(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, 4);
    return new WorkerCost(
        in.unpackString(),
        in.unpackString(),
        in.unpackLong(),
        FieldCodec.readList(in, PlacementReportCodec::readCostPart));
  }

  private static void writeCostPart(MessagePacker out, CostPart value) throws IOException {
    out.packArrayHeader(2);
    out.packString(value.name());
    out.packLong(value.thousandths());
  }

  private static CostPart readCostPart(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, 2);
    return new CostPart(in.unpackString(), in.unpackLong());
  }
}
