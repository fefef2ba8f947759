package org.hickorymoor.protocol.platform;

import com.google.gson.annotations.SerializedName;

/** What a host is. */
public enum HostRole {
  /** Runs tasks. */
  @SerializedName("worker")
  WORKER,

  /** Runs the daemon. */
  @SerializedName("entry")
  ENTRY
}
