package org.hickorymoor.cli.client;

import java.util.List;

/** Thrown when no server could be reached. The call had no effect. */
public final class UnreachableException extends ClientException {

  private static final long serialVersionUID = 1L;

  UnreachableException(List<ServerAddress> servers, String lastFailure) {
    super(
        "no server reachable, tried "
            + servers
            + ", last failure: "
            + lastFailure
            + "; check --server or HICKORYMOOR_SERVER and that hickorymoord runs there");
  }
}
