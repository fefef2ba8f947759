package org.hickorymoor.protocol.platform;

import com.google.gson.annotations.SerializedName;

/** What the platform says of a host. */
public enum HostState {
  /** In use. */
  @SerializedName("live")
  LIVE,

  /** About to go; takes nothing new. */
  @SerializedName("leaving")
  LEAVING
}
