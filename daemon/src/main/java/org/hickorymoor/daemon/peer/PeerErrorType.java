package org.hickorymoor.daemon.peer;

/** Why a peer refused a request. */
public enum PeerErrorType {
  /** The peer is not the coordinator of its failure domain. */
  NOT_COORDINATOR,

  /** The peer has too much in flight. */
  OVERLOADED,

  /** The request could not be read or makes no sense. */
  BAD_REQUEST,

  /** The peer is stopping and takes nothing new. */
  STOPPING,

  /** The peer failed while it handled the request, which may have been carried out in part. */
  INTERNAL
}
