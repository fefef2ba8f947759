package org.hickorymoor.protocol.caller;

import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.protocol.json.RecordReader;
import org.hickorymoor.protocol.json.ValueReader;
import org.jspecify.annotations.Nullable;

/** Reads job records of schema version 2, in which tasks and placement are nested objects. */
final class NestedJobRecordReader {

  private static final int MAX_SLOTS = 1_024;
  private static final int MAX_CONNECTIONS = 65_536;

  private NestedJobRecordReader() {}

  static JobSpec read(RecordReader reader) {
    Tasks tasks = reader.required("tasks").asObject(NestedJobRecordReader::tasks);
    Placement placement =
        reader.optional(
            "placement",
            value -> value.asObject(NestedJobRecordReader::placement),
            new Placement(null, Spread.NONE));
    return new JobSpec(
        JobFields.request(reader),
        JobFields.name(reader),
        JobFields.kind(reader),
        JobFields.jobClass(reader),
        tasks.count,
        tasks.demand,
        tasks.declaredRunMs,
        tasks.payload,
        JobFields.repeatable(reader),
        placement.spread,
        JobFields.durationMs(reader, "startWithinMs"),
        placement.domain);
  }

  private static Tasks tasks(RecordReader reader) {
    return new Tasks(
        reader.optional("count", value -> value.asInt(1, JobFields.MAX_TASKS), 1),
        JobFields.payload(reader),
        JobFields.durationMs(reader, "declaredRunMs"),
        reader.required("demand").asObject(NestedJobRecordReader::demand));
  }

  private static Resources demand(RecordReader reader) {
    return new Resources(
        reader.optional("slots", value -> value.asInt(1, MAX_SLOTS), 1),
        reader.optional("connections", value -> value.asInt(0, MAX_CONNECTIONS), 1),
        JobFields.cpuMillis(reader),
        JobFields.memoryMb(reader),
        JobFields.accelerators(reader));
  }

  private static Placement placement(RecordReader reader) {
    return new Placement(
        reader.optional("domain", ValueReader::asName),
        reader.optional("spread", value -> value.asEnum(Spread.class), Spread.NONE));
  }

  private record Tasks(int count, String payload, long declaredRunMs, Resources demand) {}

  private record Placement(@Nullable String domain, Spread spread) {}
}
