package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A job that fits on every worker but for the room that is kept for the most urgent queue. */
final class Case13 {

  /** {@code finish_s} of the settings. */
  private static final long FINISH_MS = 14_000;

  private static final int WORKERS = 6;
  private static final int WORKER_CPU = 16_000;
  private static final int RUNNING_CPU = 6_500;

  /** Fits into the 9,500 that are free on each worker. */
  private static final int WAITING_CPU = 9_000;

  /** Fits as well, and leaves more free. */
  private static final int CALM_CPU = 8_000;

  private Case13() {}

  public static void main(String[] args) throws Exception {
    int exit = 2;
    Map<String, Long> startedMs = new ConcurrentHashMap<>();
    try (Lab lab =
        new Lab(Path.of(args[0])) {
          @Override
          void onRunStarted(Worker worker, Worker.Run run) {
            super.onRunStarted(worker, run);
            startedMs.putIfAbsent(run.task, elapsedMs());
          }
        }) {
      exit = run(lab, startedMs);
      lab.log("exit " + exit);
    }
    Lab.exit(exit);
  }

  private static int run(Lab lab, Map<String, Long> startedMs) throws Exception {
    lab.writeConfig(1, 2, false);
    List<Worker> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      workers.add(new Worker(lab, "i-7f3a91" + (10 + i), "r1-1", WORKER_CPU));
    }
    Lab.Host host = lab.host("front-th-east-a-1");
    lab.start(host);
    if (!lab.awaitServing(host, 20_000)) {
      lab.log("the host does not serve");
      return 2;
    }
    String lasting =
        "{\"spec\":\"ms=600000\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem_mb\":3400,"
            + "\"anti_affinity\":1,\"long_running\":true}]}";
    String first = "00000000000000a1";
    String body = String.format(lasting, WORKERS, RUNNING_CPU);
    if (lab.call(host, "POST", first, body, true).status() != 200) {
      return 2;
    }
    Thread.sleep(3_000);
    if (workers.stream().anyMatch(worker -> worker.runs() != 1)) {
      lab.log("the first job does not run on every worker");
      return 2;
    }
    int cpu = Lab.isCalm() ? CALM_CPU : WAITING_CPU;
    String second = "00000000000000a2";
    body = String.format(lasting, 1, cpu);
    if (lab.call(host, "POST", second, body, true).status() != 200) {
      return 2;
    }
    long acceptedMs = lab.elapsedMs();
    // Longer than 6 s from its acceptance, and 3 s more, with nothing disturbed.
    Thread.sleep(FINISH_MS);
    Long atMs = startedMs.get(second + ".0.0.0");
    lab.log(
        "the task of " + cpu + " needs room on one of " + WORKERS + " workers with "
            + (WORKER_CPU - RUNNING_CPU) + " free each: "
            + (atMs == null ? "not started" : "started after " + (atMs - acceptedMs) + " ms"));
    lab.call(host, "GET", second, null, true);
    return atMs == null ? 1 : 0;
  }
}
