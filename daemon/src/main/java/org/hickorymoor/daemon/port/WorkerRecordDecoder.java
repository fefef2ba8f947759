package org.hickorymoor.daemon.port;

import org.hickorymoor.domain.workload.WorkerDescriptor;

/** Decodes the records that workers store about themselves. */
@FunctionalInterface
public interface WorkerRecordDecoder {

  /**
   * Decodes a record.
   *
   * @param workerId ID of the worker
   * @param value the record
   * @return the worker
   * @throws PlatformException if the record does not describe a usable worker
   */
  WorkerDescriptor decode(String workerId, byte[] value) throws PlatformException;
}
