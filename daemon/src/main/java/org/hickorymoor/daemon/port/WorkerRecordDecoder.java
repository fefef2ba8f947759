package org.hickorymoor.daemon.port;

import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.jspecify.annotations.Nullable;

/** Reads what a worker has stored about itself. */
@FunctionalInterface
public interface WorkerRecordDecoder {

  /**
   * Reads a record.
   *
   * @param workerId name of the worker
   * @param value the record
   * @return what the worker says, or null if the record names no worker to use
   */
  @Nullable WorkerDescriptor decode(String workerId, byte[] value);
}
