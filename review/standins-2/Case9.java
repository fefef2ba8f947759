import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A task that takes nearly a whole worker, of a queue that isn't the most urgent. Does it run? */
final class Case9 {
  private static final int WORKERS = 6;
  private static final int WORKER_CPU = 16_000;
  private static final int LARGE_CPU = 15_500;
  private static final int CALM_CPU = 15_000;

  /** The rule allows 3 s with nothing running; the rest is to be on the safe side. */
  private static final long MAX_WAIT_MS = 20_000;

  private Case9() {}

  public static void main(String[] args) throws Exception {
    int exit = 2;
    try (Lab lab = new Lab(Path.of(args[0]), Path.of(args[1]))) {
      try {
        exit = run(lab, !args[2].equals("0"));
      } catch (Exception e) {
        lab.recorder.note("could not run: " + e);
      }
      lab.recorder.note("exit " + exit);
    }
    System.exit(exit);
  }

  private static int run(Lab lab, boolean trouble) throws Exception {
    Recorder recorder = lab.recorder;
    Store store = new Store(recorder);
    Ledger ledger = new Ledger(recorder, true);
    store.put("keyed.op", "config", Lab.config(1, "queue"));
    for (int i = 0; i < WORKERS; i++) {
      new Worker("i-7f3a91" + (10 + i), store, ledger, recorder, "\"a\",\"r1-1\"", WORKER_CPU)
          .start();
    }
    List<Lab.Host> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hosts.add(lab.host("host-" + i, i, store.address(), 6_000));
      hosts.get(i).start();
    }
    for (Lab.Host host : hosts) {
      host.awaitReady();
    }
    Lab.sleep(2_000);
    if (!completes(recorder, hosts.get(0), ledger, "00000000000000f1", 500)) {
      return 2;
    }
    boolean held =
        completes(
            recorder, hosts.get(1), ledger, "00000000000000a0", trouble ? LARGE_CPU : CALM_CPU);
    if (!completes(recorder, hosts.get(2), ledger, "00000000000000f2", 500)) {
      return 2;
    }
    recorder.note(
        held ? "the rule held" : "LOST: an accepted job is not run though all workers are idle");
    return held ? 0 : 1;
  }

  private static boolean completes(
      Recorder recorder, Lab.Host host, Ledger ledger, String id, int cpu) {
    String job =
        "{\"spec\":\"ms=200\",\"steps\":[{\"count\":1,\"cpu\":"
            + cpu
            + ",\"mem_mb\":64,\"estimated_ms\":200}]}";
    Lab.Answer answer = Lab.call(host.front, "POST", "/queue/" + id, job, 3_000);
    recorder.note("POST " + id + " at " + host.name + " " + job + " -> " + answer.status());
    if (answer.status() != 200) {
      return false;
    }
    long beganNs = System.nanoTime();
    while (System.nanoTime() - beganNs < MAX_WAIT_MS * 1_000_000) {
      answer = Lab.call(host.front, "GET", "/queue/" + id, null, 3_000);
      if (answer.status() == 200 && answer.body().contains("completed")) {
        recorder.note("GET " + id + " -> completed");
        return true;
      }
      Lab.sleep(200);
    }
    recorder.note(
        "GET " + id + " -> " + answer.body() + " after " + MAX_WAIT_MS + " ms; it was started "
            + ledger.startsOf(id) + " times, " + WORKERS + " workers with " + WORKER_CPU
            + " each are idle");
    return false;
  }
}
