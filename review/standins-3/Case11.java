package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A burst of jobs with many steps each, beside which small jobs have room. */
final class Case11 {

  /** {@code finish_s} of the settings. */
  private static final long FINISH_MS = 14_000;

  private static final int WORKERS = 6;

  /** Two workers in six are of kind b, as on the sheet. */
  private static final int WORKERS_OF_KIND_B = 2;

  /** Large jobs in 4 s: {@code burst} of 1.06 a second, 1.8 times as many. */
  private static final int LARGE_JOBS = 7;

  private static final int INDEPENDENT_STEPS = 2_250;
  private static final int DEPENDENT_STEPS = 750;
  private static final int DEPENDENCIES = 22;
  private static final int CALM_DIVISOR = 75;
  private static final int SMALL_JOBS = 2;
  private static final int ATTEMPTS = 4;

  /** By LOST a job may have nothing running for this long while there is capacity. */
  private static final long IDLE_MS = 3_000;

  private static final String SMALL =
      "{\"spec\":\"ms=60\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":16}]}";

  private Case11() {}

  /** Returns a job whose steps have one task each, of 8 cores on a worker of kind b. */
  private static String largeJob(int independent, int dependent) {
    StringBuilder body = new StringBuilder("{\"spec\":\"ms=1000\",\"steps\":[");
    for (int step = 0; step < independent + dependent; step++) {
      body.append(step == 0 ? "" : ",");
      body.append("{\"count\":1,\"cpu\":8000,\"requirements\":\"b\"");
      if (step >= independent) {
        body.append(",\"after\":[");
        for (int i = 0; i < DEPENDENCIES; i++) {
          body.append(i == 0 ? "" : ",").append((step * 7 + i * 13) % independent);
        }
        body.append("]");
      }
      body.append("}");
    }
    return body.append("]}").toString();
  }

  public static void main(String[] args) throws Exception {
    int exit = 2;
    Map<String, Long> startedMs = new ConcurrentHashMap<>();
    try (Lab lab =
        new Lab(Path.of(args[0])) {
          @Override
          void onRunStarted(Worker worker, Worker.Run run) {
            super.onRunStarted(worker, run);
            startedMs.putIfAbsent(run.task.substring(0, 16), elapsedMs());
          }
        }) {
      exit = run(lab, startedMs);
      lab.log("exit " + exit);
    }
    Lab.exit(exit);
  }

  private static int run(Lab lab, Map<String, Long> startedMs) throws Exception {
    lab.writeConfig(3);
    List<Worker> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      String kind = i < WORKERS_OF_KIND_B ? "b" : "a";
      workers.add(new Worker(lab, "i-7f3a91" + (10 + i), kind, "r1-1", 16_000));
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
    int divisor = Lab.isCalm() ? CALM_DIVISOR : 1;
    String body = largeJob(INDEPENDENT_STEPS / divisor, DEPENDENT_STEPS / divisor);
    lab.log("a large job has " + body.length() + " bytes");
    int acceptedLarge = 0;
    for (int i = 0; i < LARGE_JOBS; i++) {
      String id = String.format("5c0e7a21d94b36%02x", i);
      acceptedLarge += lab.call(hosts.get(i % 2), "POST", id, body, true).status() == 200 ? 1 : 0;
      Thread.sleep(500);
    }
    Thread.sleep(FINISH_MS);
    Map<String, Long> acceptedMs = new java.util.TreeMap<>();
    for (int i = 0; i < SMALL_JOBS; i++) {
      String id = String.format("%016x", 0xa0 + i);
      for (int attempt = 0; attempt < ATTEMPTS && !acceptedMs.containsKey(id); attempt++) {
        if (lab.call(hosts.get((i + attempt) % 2), "POST", id, SMALL, true).status() == 200) {
          acceptedMs.put(id, lab.elapsedMs());
        }
      }
    }
    if (acceptedLarge == 0) {
      lab.log("no large job was accepted");
      return 2;
    }
    // The large jobs have tasks whose turn has come all the while, and the workers of kind b are
    // theirs: there is capacity for such a task four times over while nothing runs.
    long idleSinceMs = -1;
    long longestIdleMs = 0;
    long endMs = lab.elapsedMs() + FINISH_MS;
    while (lab.elapsedMs() < endMs) {
      boolean idle = workers.stream().allMatch(worker -> worker.runs() == 0);
      idleSinceMs = !idle ? -1 : idleSinceMs < 0 ? lab.elapsedMs() : idleSinceMs;
      longestIdleMs = Math.max(longestIdleMs, idle ? lab.elapsedMs() - idleSinceMs : 0);
      Thread.sleep(20);
    }
    int late = 0;
    for (Map.Entry<String, Long> accepted : acceptedMs.entrySet()) {
      Long atMs = startedMs.get(accepted.getKey());
      late += atMs == null || atMs - accepted.getValue() > FINISH_MS ? 1 : 0;
      lab.log(
          "small job " + accepted.getKey() + ": "
              + (atMs == null ? "not started" : "started after " + (atMs - accepted.getValue()) + " ms"));
    }
    lab.log(acceptedLarge + " large jobs accepted, " + acceptedMs.size() + " small ones");
    lab.log("all " + WORKERS + " workers were idle for " + longestIdleMs + " ms on end");
    for (Lab.Host host : hosts) {
      lab.logOutput(host, "elected coordinator", 60);
      lab.log("processor time of " + host.name + ": " + host.process.info().totalCpuDuration());
    }
    return late > 0 || longestIdleMs >= IDLE_MS ? 1 : 0;
  }
}
