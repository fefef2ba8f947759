package org.hickorymoor.daemon.http;

import java.util.Map;
import org.hickorymoor.daemon.entry.Router;
import org.hickorymoor.daemon.entry.RoutingResult;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.protocol.caller.ErrorTypes;

/**
 * Serves {@code /v1/workers}, {@code /v1/cell}, {@code /healthz}, {@code /readyz} and {@code
 * /metrics}.
 */
final class CellResource implements HttpApiServer.Resource {

  private static final long ROUTING_TIMEOUT_MS = 5_000;

  private final String domain;
  private final Router router;
  private final HttpApiServerFactory.StatusSuppliers statusSuppliers;

  CellResource(String domain, Router router, HttpApiServerFactory.StatusSuppliers statusSuppliers) {
    this.domain = domain;
    this.router = router;
    this.statusSuppliers = statusSuppliers;
  }

  @Override
  public boolean handle(HttpCall call) {
    String target = call.method() + " /" + String.join("/", call.path());
    switch (target) {
      case "GET /healthz" -> call.replyText(HttpCall.OK, "ok\n");
      case "GET /readyz" -> ready(call);
      case "GET /metrics" -> call.reply(HttpCall.OK, statusSuppliers.metrics().get());
      case "GET /v1/cell" -> call.reply(HttpCall.OK, statusSuppliers.cell().get());
      case "GET /v1/workers" ->
          router
              .route(domain, new PeerRequest.ListWorkers(), ROUTING_TIMEOUT_MS)
              .thenAccept(result -> reply(call, result));
      default -> {
        return false;
      }
    }
    return true;
  }

  private void ready(HttpCall call) {
    boolean ready = statusSuppliers.ready().get();
    call.replyText(ready ? HttpCall.OK : HttpCall.UNAVAILABLE, ready ? "ready\n" : "not ready\n");
  }

  private static void reply(HttpCall call, RoutingResult result) {
    PeerReply reply = result.reply();
    if (reply instanceof PeerReply.WorkerListReply list) {
      call.reply(HttpCall.OK, Map.of("workers", list.workers()));
    } else {
      String message = "no coordinator of the failure domain could be reached; try again";
      call.replyError(HttpCall.UNAVAILABLE, ErrorTypes.UNAVAILABLE, message);
    }
  }
}
