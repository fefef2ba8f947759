package org.hickorymoor.daemon.peer;

/** Reason why a peer refused a request. */
public enum PeerErrorType {
  /** The peer is not the coordinator of its failure domain. */
  NOT_COORDINATOR,

  /** The peer has too many requests in flight. */
  OVERLOADED,

  /** The request is malformed, too large or invalid. */
  BAD_REQUEST,

  /** The peer is stopping and accepts no new requests. */
  STOPPING,

  /** The peer failed while handling the request, which may have been partially executed. */
  INTERNAL
}
