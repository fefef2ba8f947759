package org.hickorymoor.protocol.platform;

import com.google.gson.annotations.SerializedName;

/** Purpose of a host. */
public enum HostRole {
  /** Runs tasks. */
  @SerializedName("worker")
  WORKER,

  /** Runs the daemon. */
  @SerializedName("entry")
  ENTRY
}
