package org.hickorymoor.daemon.coordinator;

import java.util.Optional;
import org.hickorymoor.domain.job.JobSpec;

/** Writes a job as text that travels with its tasks, and reads it back after a takeover. */
public interface RecordText {

  /**
   * Writes a job.
   *
   * @param spec the job
   * @return its record
   */
  String write(JobSpec spec);

  /**
   * Reads a job.
   *
   * @param text a record
   * @return the job, or empty if the text is no record
   */
  Optional<JobSpec> read(String text);
}
