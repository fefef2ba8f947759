package org.hickorymoor.protocol.platform;

import com.google.gson.annotations.SerializedName;

/** State of a host as reported by the platform. */
public enum HostState {
  /** The host is in use. */
  @SerializedName("live")
  LIVE,

  /** The host is about to be removed and must not get new work. */
  @SerializedName("leaving")
  LEAVING
}
