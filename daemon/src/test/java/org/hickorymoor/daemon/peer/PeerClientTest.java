package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerReply.Done;
import org.hickorymoor.daemon.peer.PeerReply.ExplainReply;
import org.hickorymoor.daemon.peer.PeerRequest.FetchIntents;
import org.hickorymoor.daemon.peer.PeerRequest.ListWorkers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerClientTest {

  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final PeerRequest REQUEST = new ListWorkers();

  private final Peers peers = new Peers();

  @AfterEach
  void stop() {
    peers.close();
  }

  @Test
  void repliesOutOfOrderReachTheirOwnCalls() throws Exception {
    List<CompletableFuture<PeerReply>> held = new ArrayList<>();
    PeerServer server =
        peers.server(
            Peers.settings(),
            request -> {
              CompletableFuture<PeerReply> reply = new CompletableFuture<>();
              held.add(0, reply.thenApply(x -> echo((FetchIntents) request)));
              if (held.size() == 2) {
                // Completed below, the later one first.
                reply.complete(new Done());
              }
              return held.get(0);
            });
    PeerClient client = peers.client(Peers.settings());

    CompletableFuture<PeerReply> first =
        client.call(server.address(), new FetchIntents("a"), Peers.CALL_MS);
    CompletableFuture<PeerReply> second =
        client.call(server.address(), new FetchIntents("b"), Peers.CALL_MS);

    assertThat(Peers.await(second)).isEqualTo(new ExplainReply(List.of("b")));
    assertThat(first.isDone()).isFalse();
  }

  private static PeerReply echo(FetchIntents request) {
    return new ExplainReply(List.of(request.domain()));
  }
}
