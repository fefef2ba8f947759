package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Takeovers read what the ledger says of every job that has ever ended. */
final class Case13 {

  /** Jobs that spp-hickory hands in within 18.2 hours: 13.85 a second by its sheet. */
  private static final int ENDED_JOBS = 908_928;

  private static final long RECOVERY_MS = 12_000;
  private static final long RESTART_DELAY_MS = 500;
  private static final String OLD = "5c0e7a21d94b36f8";
  private static final String NEW = "00000000000000a1";

  private Case13() {}

  public static void main(String[] args) throws Exception {
    int exit = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      exit = run(lab);
      lab.log("exit " + exit);
    }
    System.exit(exit);
  }

  private static boolean awaitState(Lab lab, Lab.Host host, String id, long withinMs)
      throws InterruptedException {
    long endMs = lab.elapsedMs() + withinMs;
    while (lab.elapsedMs() < endMs) {
      if (lab.call(host, "GET", id, null, false).body().contains("completed")) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  private static int run(Lab lab) throws Exception {
    lab.writeConfig(3);
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
    String body = "{\"spec\":\"ms=60\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":16}]}";
    if (lab.call(hosts.get(0), "POST", OLD, body, true).status() != 200
        || !awaitState(lab, hosts.get(0), OLD, 10_000)) {
      lab.log("the first job is not completed");
      return 2;
    }
    byte[] ended = lab.store.get("keyed.hickorymoor", 1, OLD);
    if (ended == null) {
      lab.log("no record of the first job");
      return 2;
    }
    // The variable JOBS sets another number, to find where the rule begins to break.
    String stated = System.getenv("JOBS");
    int jobs = stated == null ? ENDED_JOBS : Integer.parseInt(stated);
    List<String> ids = new ArrayList<>(jobs);
    java.util.Random random = new java.util.Random(1);
    for (int i = 0; i < jobs; i++) {
      ids.add(String.format("%016x", random.nextLong()));
    }
    lab.store.preload("keyed.hickorymoor", 1, ids, ended);
    lab.log("the ledger holds " + jobs + " further ended jobs, " + ended.length + " bytes each");
    if (!Lab.isCalm()) {
      for (Lab.Host host : hosts) {
        lab.kill(host);
      }
      for (Lab.Host host : hosts) {
        lab.start(host);
      }
    }
    final long backMs = lab.elapsedMs();
    int[] ends = new int[hosts.size()];
    long firstAnswerMs = -1;
    long endMs = lab.elapsedMs() + 70_000;
    while (lab.elapsedMs() < endMs) {
      Thread.sleep(200);
      for (int i = 0; i < ends.length; i++) {
        Lab.Host host = hosts.get(i);
        if (!host.process.isAlive()) {
          ends[i]++;
          lab.log("host " + host.name + " ended by itself, exit code " + host.process.exitValue());
          lab.logOutput(host, "Out", 1);
          lab.logOutput(host, "OutOfMemory", 1);
          Thread.sleep(RESTART_DELAY_MS);
          lab.start(host);
        }
      }
      if (firstAnswerMs < 0) {
        Lab.Answer answer = lab.call(hosts.get(0), "GET", OLD, null, false);
        if (answer.status() == 200) {
          firstAnswerMs = lab.elapsedMs() - backMs;
          lab.log("first answer " + firstAnswerMs + " ms after the start: " + answer);
          if (firstAnswerMs <= RECOVERY_MS) {
            break;
          }
        }
      }
      if (ends[0] >= 3 && ends[1] >= 3) {
        break;
      }
    }
    lab.log("ends: " + ends[0] + " and " + ends[1] + ", first answer after " + firstAnswerMs);
    for (Lab.Host host : hosts) {
      lab.logOutput(host, "elected coordinator", 2);
      lab.logOutput(host, "Took over", 2);
      lab.log("processor time of " + host.name + ": " + host.process.info().totalCpuDuration());
    }
    if (firstAnswerMs < 0) {
      return 1;
    }
    lab.call(hosts.get(0), "POST", NEW, body, true);
    boolean served = awaitState(lab, hosts.get(0), NEW, 14_000);
    lab.log("new job completed: " + served);
    return ends[0] + ends[1] > 0 || !served || firstAnswerMs > RECOVERY_MS ? 1 : 0;
  }
}
