package org.hickorymoor.daemon.http;

import java.util.Map;
import org.hickorymoor.daemon.entry.Routed;
import org.hickorymoor.daemon.entry.Router;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.protocol.caller.ErrorTypes;

/** Serves {@code /v1/workers}, {@code /v1/cell}, {@code /healthz}, {@code /readyz} and metrics. */
final class CellResource implements HttpInterface.Resource {

  private static final long ASK_WITHIN_MS = 5_000;

  private final String domain;
  private final Router router;
  private final HttpInterfaces.Views views;

  CellResource(String domain, Router router, HttpInterfaces.Views views) {
    this.domain = domain;
    this.router = router;
    this.views = views;
  }

  @Override
  public boolean handle(HttpCall call) {
    String target = call.method() + " /" + String.join("/", call.path());
    switch (target) {
      case "GET /healthz" -> call.text(HttpCall.OK, "ok\n");
      case "GET /readyz" -> ready(call);
      case "GET /metrics" -> call.reply(HttpCall.OK, views.metrics().get());
      case "GET /v1/cell" -> call.reply(HttpCall.OK, views.cell().get());
      case "GET /v1/workers" ->
          router
              .route(domain, new PeerRequest.ListWorkers(), ASK_WITHIN_MS)
              .thenAccept(routed -> reply(call, routed));
      default -> {
        return false;
      }
    }
    return true;
  }

  private void ready(HttpCall call) {
    boolean ready = views.ready().get();
    call.text(ready ? HttpCall.OK : HttpCall.UNAVAILABLE, ready ? "ready\n" : "not ready\n");
  }

  private static void reply(HttpCall call, Routed routed) {
    PeerReply reply = routed.reply();
    if (reply instanceof PeerReply.WorkerListReply list) {
      call.reply(HttpCall.OK, Map.of("workers", list.workers()));
    } else {
      String message = "no coordinator of the failure domain could be reached; try again";
      call.error(HttpCall.UNAVAILABLE, ErrorTypes.UNAVAILABLE, message);
    }
  }
}
