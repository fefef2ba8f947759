package org.hickorymoor.protocol.caller;

import com.google.gson.JsonObject;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.protocol.json.EnumNames;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.RecordReader;

/**
 * Parses job records of all schema versions and serializes them in the newest one.
 *
 * <pre>{@code
 * JobSpec spec = JobRecordCodec.parse(body);
 * String canonical = JobRecordCodec.toJson(spec);
 * }</pre>
 *
 * <p>All methods are stateless and thread-safe.
 */
public final class JobRecordCodec {

  /** Maximum size of a job record. */
  public static final int MAX_BYTES = 64 * 1024;

  private static final int FLAT_VERSION = 1;
  private static final int NESTED_VERSION = 2;

  private JobRecordCodec() {}

  /**
   * Parses a job record of schema version 1 or 2.
   *
   * @param json the record
   * @return the specification of the job
   * @throws InvalidRecordException if the record is invalid; lists all problems
   */
  public static JobSpec parse(String json) throws InvalidRecordException {
    return RecordReader.read(json, MAX_BYTES, JobRecordCodec::read);
  }

  /**
   * Serializes a job in schema version 2, with all fields in a fixed order.
   *
   * <p>Two job specifications are equivalent if and only if their serialized records are equal.
   *
   * @param spec the specification of the job
   * @return the record without line breaks
   */
  public static String toJson(JobSpec spec) {
    JsonObject record = new JsonObject();
    record.addProperty("schemaVersion", NESTED_VERSION);
    record.addProperty("team", spec.request().team());
    record.addProperty("key", spec.request().key());
    record.addProperty("name", spec.name());
    record.addProperty("kind", EnumNames.toKebabCase(spec.kind()));
    record.addProperty("class", EnumNames.toKebabCase(spec.jobClass()));
    record.addProperty("repeatable", spec.repeatable());
    record.add("tasks", tasks(spec));
    record.add("placement", placement(spec));
    record.addProperty("startWithinMs", spec.startWithinMs());
    return record.toString();
  }

  private static JobSpec read(RecordReader reader) {
    int version = reader.schemaVersion(NESTED_VERSION, FLAT_VERSION);
    return version == FLAT_VERSION
        ? FlatJobRecordReader.read(reader)
        : NestedJobRecordReader.read(reader);
  }

  private static JsonObject tasks(JobSpec spec) {
    JsonObject tasks = new JsonObject();
    tasks.addProperty("count", spec.taskCount());
    tasks.addProperty("payload", spec.payload());
    tasks.addProperty("declaredRunMs", spec.declaredRunMs());
    tasks.add("demand", demand(spec.demand()));
    return tasks;
  }

  private static JsonObject demand(Resources amount) {
    JsonObject demand = new JsonObject();
    demand.addProperty("slots", amount.slots());
    demand.addProperty("connections", amount.connections());
    demand.addProperty("cpuMillis", amount.cpuMillis());
    demand.addProperty("memoryMb", amount.memoryMb());
    demand.addProperty("accelerators", amount.accelerators());
    return demand;
  }

  private static JsonObject placement(JobSpec spec) {
    JsonObject placement = new JsonObject();
    if (spec.domain() != null) {
      placement.addProperty("domain", spec.domain());
    }
    placement.addProperty("spread", EnumNames.toKebabCase(spec.spread()));
    return placement;
  }
}
