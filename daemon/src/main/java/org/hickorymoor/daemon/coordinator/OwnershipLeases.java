package org.hickorymoor.daemon.coordinator;

import org.hickorymoor.domain.lease.LeaseView;
import org.hickorymoor.protocol.platform.CommandOutcome;
import org.hickorymoor.protocol.platform.RunningTask;
import org.hickorymoor.protocol.platform.SyncReply;

/** Finds ownership leases in a worker's task list. */
final class OwnershipLeases {

  static final String PREFIX = "hold:";

  private OwnershipLeases() {}

  static boolean isOwnershipLease(String taskId) {
    return taskId.startsWith(PREFIX);
  }

  /** Reads the reply to a sync that renewed this host's own lease. */
  static LeaseView renewed(String ownLeaseTaskId, SyncReply reply) {
    if (reply.outcome() != CommandOutcome.DONE) {
      return new LeaseView(false, 0, true);
    }
    return view(ownLeaseTaskId, reply);
  }

  static LeaseView view(String ownLeaseTaskId, SyncReply reply) {
    long untilMs = 0;
    boolean ownListed = false;
    boolean others = false;
    for (RunningTask task : reply.tasks()) {
      if (task.taskId().equals(ownLeaseTaskId)) {
        ownListed = true;
        untilMs = task.leaseUntilMs();
      } else if (isOwnershipLease(task.taskId())) {
        others = true;
      }
    }
    return new LeaseView(ownListed, untilMs, others);
  }
}
