package org.hickorymoor.daemon.coordinator;

import java.util.Optional;
import org.hickorymoor.domain.job.JobSpec;

/**
 * Encodes a job specification for the labels of its tasks, from which the next coordinator restores
 * the job after a failover.
 */
public interface JobSpecCodec {

  /**
   * Encodes a job specification.
   *
   * @param spec the specification
   * @return its encoded form
   */
  String encode(JobSpec spec);

  /**
   * Decodes a job specification.
   *
   * @param text the encoded form
   * @return the specification, or empty if the text is invalid
   */
  Optional<JobSpec> decode(String text);
}
