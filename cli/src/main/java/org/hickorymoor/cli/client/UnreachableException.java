package org.hickorymoor.cli.client;

import java.util.List;

/** Thrown when no server could be reached; the call had no effect. */
public final class UnreachableException extends ClientException {

  private static final long serialVersionUID = 1L;

  UnreachableException(List<ServerAddress> servers, String lastFailure) {
    super(
        "no server can be reached, tried "
            + servers
            + ", last: "
            + lastFailure
            + "; check --server or HICKORYMOOR_SERVER and that hickorymoord runs there");
  }
}
