package org.hickorymoor.daemon.coordinator;

import org.hickorymoor.domain.lease.HoldView;
import org.hickorymoor.protocol.platform.CommandOutcome;
import org.hickorymoor.protocol.platform.RunningTask;
import org.hickorymoor.protocol.platform.SyncReply;

/** Finds ownership leases in what a worker lists. */
final class HoldLists {

  static final String PREFIX = "hold:";

  private HoldLists() {}

  static boolean isHold(String taskId) {
    return taskId.startsWith(PREFIX);
  }

  /** Reads the answer to a sync that was to renew the own lease. */
  static HoldView renewed(String ownLeaseTaskId, SyncReply reply) {
    if (reply.outcome() != CommandOutcome.DONE) {
      return new HoldView(false, 0, true);
    }
    return view(ownLeaseTaskId, reply);
  }

  static HoldView view(String ownLeaseTaskId, SyncReply reply) {
    long untilMs = 0;
    boolean ownListed = false;
    boolean others = false;
    for (RunningTask task : reply.tasks()) {
      if (task.taskId().equals(ownLeaseTaskId)) {
        ownListed = true;
        untilMs = task.leaseUntilMs();
      } else if (isHold(task.taskId())) {
        others = true;
      }
    }
    return new HoldView(ownListed, untilMs, others);
  }
}
