package review3;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A new coordinator asks for advice through hosts that were removed long ago. */
final class Case15 {

  /** {@code finish_s} of the settings. */
  private static final long FINISH_MS = 14_000;

  /** Machines that were removed for good; the hosts of the case replace the last two of them. */
  private static final int REMOVED = 40;

  private static final String JOB =
      "{\"spec\":\"ms=60\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":16}]}";

  private Case15() {}

  public static void main(String[] args) throws Exception {
    int exit = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      exit = run(lab);
      lab.log("exit " + exit);
    }
    System.exit(exit);
  }

  /** Listens as a machine without power seems to: connections to it are never answered. */
  private static ServerSocket silent(List<Socket> kept) throws Exception {
    ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName(Lab.IP));
    Thread acceptor =
        new Thread(
            () -> {
              try {
                while (true) {
                  kept.add(listener.accept());
                }
              } catch (java.io.IOException e) {
                // The case is over.
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
    return listener;
  }

  private static boolean awaitCompleted(Lab lab, Lab.Host host, String id, long withinMs)
      throws InterruptedException {
    long beganMs = lab.elapsedMs();
    String state = "";
    while (lab.elapsedMs() < beganMs + withinMs && !state.contains("completed")) {
      state = lab.call(host, "GET", id, null, false).body();
      Thread.sleep(200);
    }
    lab.log("job " + id + " is shown as " + state + " after " + (lab.elapsedMs() - beganMs) + " ms");
    return state.contains("completed");
  }

  private static int run(Lab lab) throws Exception {
    lab.writeConfig(3, true);
    for (int i = 0; i < 2; i++) {
      new Worker(lab, "i-7f3a91" + (10 + i), "r1-1", 16_000);
    }
    List<Socket> kept = Collections.synchronizedList(new ArrayList<>());
    if (!Lab.isCalm()) {
      for (int i = 1; i <= REMOVED; i++) {
        String address = Lab.IP + ":" + silent(kept).getLocalPort();
        lab.store.put(
            "keyed.hickorymoor",
            3,
            "front-th-east-a-" + i,
            address.getBytes(StandardCharsets.UTF_8));
      }
      lab.log("the registry holds the entries of " + REMOVED + " removed hosts");
    }
    List<Lab.Host> hosts = new ArrayList<>();
    for (int i = REMOVED + 1; i <= REMOVED + 2; i++) {
      hosts.add(lab.host("front-th-east-a-" + i));
    }
    for (Lab.Host host : hosts) {
      lab.start(host);
    }
    for (Lab.Host host : hosts) {
      if (!lab.awaitServing(host, 20_000)) {
        lab.log("a host does not serve");
        return 2;
      }
    }
    // Longer than contact_ms, so that all are in touch.
    Thread.sleep(6_000);
    if (lab.call(hosts.get(0), "POST", "00000000000000a1", JOB, true).status() != 200) {
      return 2;
    }
    boolean served = awaitCompleted(lab, hosts.get(0), "00000000000000a1", FINISH_MS);
    lab.log("calls for advice: " + lab.adviceCalls.get());
    for (Lab.Host host : hosts) {
      lab.logOutput(host, "Approval request for", 60);
    }
    return served ? 0 : 1;
  }
}
