package org.hickorymoor.daemon.cellconfig;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickorymoor.daemon.peer.PeerReply.CellConfigReply;
import org.hickorymoor.daemon.peer.PeerRequest.GetCellConfig;
import org.hickorymoor.daemon.port.PeerPort;
import org.hickorymoor.daemon.shard.ShardEventLoop;

/** Asks peers for newer configurations. Not thread-safe; confined to the event loop thread. */
final class PeerConfigSync {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Two, so that one peer that the store turns away as well costs no round. */
  private static final int PEERS_PER_ROUND = 2;

  /** Longer than a record of some megabytes takes between two busy hosts. */
  private static final long CALL_TIMEOUT_MS = 1_000;

  /** Receives the replies of peers on the event loop thread. */
  @FunctionalInterface
  interface Listener {
    /**
     * Called for each reply.
     *
     * @param reply the reply
     * @param sentAt moment at which the request was sent, which is before the reply
     */
    void onReply(CellConfigReply reply, Moment sentAt);
  }

  private final ShardEventLoop loop;
  private final PeerPort peers;
  private final ConfigFollowerSettings settings;
  private final Supplier<List<String>> hosts;
  private final LongSupplier knownOffset;
  private final Listener listener;

  /** Candidates whose latest call was answered. */
  private final Set<String> answering = new HashSet<>();

  private boolean senderAsked;

  /**
   * Creates the exchange with peers.
   *
   * @param loop the event loop
   * @param peers calls other hosts
   * @param settings identity of this host
   * @param hosts returns the peer addresses of all known hosts
   * @param knownOffset returns the offset of the newest record that this host knows
   * @param listener receives the replies
   */
  PeerConfigSync(
      ShardEventLoop loop,
      PeerPort peers,
      ConfigFollowerSettings settings,
      Supplier<List<String>> hosts,
      LongSupplier knownOffset,
      Listener listener) {
    this.loop = loop;
    this.peers = peers;
    this.settings = settings;
    this.hosts = hosts;
    this.knownOffset = knownOffset;
    this.listener = listener;
  }

  /**
   * Asks two random hosts, one of them among those that answered their latest call.
   *
   * <p>The registry keeps the addresses of hosts that died. Choosing both from all of them would
   * leave a host without an answer, and so not ready, for seconds at a time.
   *
   * @param withSeeds whether to choose among the seeds as well, as the known hosts may be gone
   */
  void askRandomPeers(boolean withSeeds) {
    Set<String> candidates = new LinkedHashSet<>(hosts.get());
    candidates.remove(settings.peerAddress());
    if (withSeeds || candidates.isEmpty()) {
      candidates.addAll(settings.seedAddresses());
      candidates.remove(settings.peerAddress());
    }
    List<String> shuffled = new ArrayList<>(candidates);
    Collections.shuffle(shuffled, loop.random());
    answering.retainAll(candidates);
    shuffled.stream()
        .filter(answering::contains)
        .findFirst()
        .ifPresent(address -> Collections.swap(shuffled, 0, shuffled.indexOf(address)));
    for (String address : shuffled.subList(0, Math.min(PEERS_PER_ROUND, shuffled.size()))) {
      ask(address, () -> {});
    }
  }

  /** Asks a host that knows a newer record, unless such a call is under way. */
  void askSender(String address, long offset) {
    if (offset <= knownOffset.getAsLong() || senderAsked) {
      return;
    }
    senderAsked = true;
    ask(address, () -> senderAsked = false);
  }

  private void ask(String address, Runnable onCompleted) {
    Moment sentAt = Moment.now(loop);
    GetCellConfig request = new GetCellConfig(knownOffset.getAsLong(), settings.peerAddress());
    var unused =
        peers
            .call(address, request, CALL_TIMEOUT_MS)
            .whenComplete(
                (reply, failure) ->
                    loop.execute(
                        () -> {
                          onCompleted.run();
                          if (reply instanceof CellConfigReply answer) {
                            answering.add(address);
                            listener.onReply(answer, sentAt);
                          } else {
                            answering.remove(address);
                            logger.atFine().log(
                                "config: No configuration from %s: %s.",
                                address, failure == null ? reply : failure);
                          }
                        }));
  }
}
