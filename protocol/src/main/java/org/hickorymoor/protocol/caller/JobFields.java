package org.hickorymoor.protocol.caller;

import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.protocol.json.RecordReader;
import org.hickorymoor.protocol.json.ValueReader;

/** Fields and limits common to all schema versions of job records. */
final class JobFields {

  static final int MAX_TASKS = 10_000;
  static final long MAX_DURATION_MS = 365L * 24 * 60 * 60 * 1000;

  private static final int MAX_CPU_MILLIS = 1_024_000;
  private static final int MAX_MEMORY_MB = 16 * 1024 * 1024;
  private static final int MAX_ACCELERATORS = 1_024;

  private JobFields() {}

  static RequestKey request(RecordReader reader) {
    return new RequestKey(reader.required("team").asName(), reader.required("key").asName());
  }

  static String name(RecordReader reader) {
    return reader.required("name").asName();
  }

  static JobKind kind(RecordReader reader) {
    return reader.required("kind").asEnum(JobKind.class);
  }

  static JobClass jobClass(RecordReader reader) {
    return reader.optional("class", value -> value.asEnum(JobClass.class), JobClass.NORMAL);
  }

  static boolean repeatable(RecordReader reader) {
    return reader.optional("repeatable", ValueReader::asBoolean, true);
  }

  static String payload(RecordReader reader) {
    return reader.optional("payload", value -> value.asString(JobRecordCodec.MAX_BYTES), "");
  }

  static long durationMs(RecordReader reader, String name) {
    return reader.optional(name, value -> value.asLong(0, MAX_DURATION_MS), 0L);
  }

  static int cpuMillis(RecordReader reader) {
    return reader.required("cpuMillis").asInt(0, MAX_CPU_MILLIS);
  }

  static int memoryMb(RecordReader reader) {
    return reader.required("memoryMb").asInt(0, MAX_MEMORY_MB);
  }

  static int accelerators(RecordReader reader) {
    return reader.optional("accelerators", value -> value.asInt(0, MAX_ACCELERATORS), 0);
  }
}
