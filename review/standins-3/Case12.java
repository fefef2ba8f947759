package review3;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Hosts that are restarted in turn, while the removals of their entries are done late. */
final class Case12 {

  /** {@code finish_s} of the settings. */
  private static final long FINISH_MS = 14_000;

  private static final long GRACE_MS = 6_000;
  private static final long RESTART_DELAY_MS = 500;

  /** Longest delay of a write that is done late, by {@code fleetbench kinds}. */
  private static final long LATE_MS = 6_000;

  private static final String HOSTS_PARTITION = "3";
  private static final String JOB =
      "{\"spec\":\"ms=60\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":16}]}";

  private Case12() {}

  public static void main(String[] args) throws Exception {
    int exit = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      exit = run(lab);
      lab.log("exit " + exit);
    }
    Lab.exit(exit);
  }

  private static boolean awaitCompleted(Lab lab, Lab.Host host, String id, long withinMs)
      throws InterruptedException {
    long endMs = lab.elapsedMs() + withinMs;
    String state = "";
    while (lab.elapsedMs() < endMs && !state.contains("completed")) {
      state = lab.call(host, "GET", id, null, false).body();
      Thread.sleep(200);
    }
    lab.log("job " + id + " is shown as " + state);
    return state.contains("completed");
  }

  private static int run(Lab lab) throws Exception {
    lab.writeConfig(3, true);
    for (int i = 0; i < 2; i++) {
      new Worker(lab, "i-7f3a91" + (10 + i), "r1-1", 16_000);
    }
    List<Lab.Host> hosts = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
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
    Thread.sleep(3_000);
    if (lab.call(hosts.get(0), "POST", "00000000000000a1", JOB, true).status() != 200
        || !awaitCompleted(lab, hosts.get(0), "00000000000000a1", FINISH_MS)) {
      lab.log("no job is served before the disruption");
      return 2;
    }
    if (!Lab.isCalm()) {
      lab.store.lateWrites =
          (topic, part, records) -> {
            boolean removal =
                topic.equals("keyed.hickorymoor")
                    && part.equals(HOSTS_PARTITION)
                    && records.size() == 1
                    && records.get(0).length == 1 + (records.get(0)[0] & 0xff);
            if (removal) {
              byte[] record = records.get(0);
              String key = new String(record, 1, record.length - 1, StandardCharsets.UTF_8);
              lab.log("the store does the removal of " + key + " in " + LATE_MS + " ms, unanswered");
            }
            return removal ? LATE_MS : 0;
          };
    }
    for (Lab.Host host : hosts) {
      lab.roll(host, GRACE_MS, RESTART_DELAY_MS);
      if (!lab.awaitServing(host, 12_000)) {
        lab.log("a host does not serve after its restart");
        return 2;
      }
    }
    // All is well from here on; the last write has been done before the next job comes.
    Thread.sleep(LATE_MS + 4_000);
    for (Lab.Host host : hosts) {
      byte[] entry = lab.store.get("keyed.hickorymoor", 3, host.name);
      lab.log(
          "entry of " + host.name + ": "
              + (entry == null ? "none" : new String(entry, StandardCharsets.UTF_8)));
    }
    int callsBefore = lab.adviceCalls.get();
    if (lab.call(hosts.get(0), "POST", "00000000000000a2", JOB, true).status() != 200) {
      return 2;
    }
    boolean served = awaitCompleted(lab, hosts.get(1), "00000000000000a2", FINISH_MS);
    lab.log("calls for advice since the job was accepted: " + (lab.adviceCalls.get() - callsBefore));
    return served ? 0 : 1;
  }
}
