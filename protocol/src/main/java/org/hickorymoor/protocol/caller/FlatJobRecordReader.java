package org.hickorymoor.protocol.caller;

import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.protocol.json.RecordReader;

/**
 * Reads job records of schema version 1, in which all fields are at the top level and each task
 * takes one slot and one connection.
 */
final class FlatJobRecordReader {

  private FlatJobRecordReader() {}

  static JobSpec read(RecordReader reader) {
    return new JobSpec(
        JobFields.request(reader),
        JobFields.name(reader),
        JobFields.kind(reader),
        JobFields.jobClass(reader),
        reader.optional("tasks", value -> value.asInt(1, JobFields.MAX_TASKS), 1),
        demand(reader),
        JobFields.durationMs(reader, "runMs"),
        JobFields.payload(reader),
        JobFields.repeatable(reader),
        Spread.NONE,
        0,
        null);
  }

  private static Resources demand(RecordReader reader) {
    return new Resources(
        1,
        1,
        JobFields.cpuMillis(reader),
        JobFields.memoryMb(reader),
        JobFields.accelerators(reader));
  }
}
