package org.hickorymoor.daemon;

import java.util.Optional;
import org.hickorymoor.daemon.coordinator.JobSpecCodec;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.protocol.caller.JobRecordCodec;
import org.hickorymoor.protocol.json.InvalidRecordException;

/** Encodes jobs as canonical JSON records of the newest schema version. Thread-safe. */
final class JobRecordSpecCodec implements JobSpecCodec {

  @Override
  public String encode(JobSpec spec) {
    return JobRecordCodec.toJson(spec);
  }

  @Override
  public Optional<JobSpec> decode(String text) {
    try {
      return Optional.of(JobRecordCodec.parse(text));
    } catch (InvalidRecordException e) {
      return Optional.empty();
    }
  }
}
