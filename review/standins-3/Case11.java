package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A scheduled job whose progress no longer fits into one record of the store. */
final class Case11 {

  /** {@code finish_s} of the settings. */
  private static final long FINISH_MS = 14_000;

  private static final int WORKERS = 12;
  private static final int TASKS = 52;
  private static final int INTERVAL_MS = 60_000;
  private static final int REPETITIONS = 880;
  private static final int CALM_REPETITIONS = 100;
  private static final String SCHEDULED = "5c0e7a21d94b36f8";

  private Case11() {}

  public static void main(String[] args) throws Exception {
    AtomicInteger starts = new AtomicInteger();
    AtomicLong lastStartMs = new AtomicLong();
    Map<String, Boolean> started = new ConcurrentHashMap<>();
    int exit = 2;
    try (Lab lab =
        new Lab(Path.of(args[0])) {
          @Override
          void onRunStarted(Worker worker, Worker.Run run) {
            lastStartMs.set(elapsedMs());
            started.put(run.task.substring(0, 16), true);
            int count = starts.incrementAndGet();
            if (count % 1_000 == 0 || !run.task.startsWith(SCHEDULED)) {
              log("start " + run.task + " run " + run.run + ", start number " + count);
            }
          }

          @Override
          void onRunEnded(Worker worker, Worker.Run run, String how) {
            if (!run.task.startsWith(SCHEDULED) || !how.equals("done")) {
              log("end " + run.task + " run " + run.run + ": " + how);
            }
          }
        }) {
      exit = run(lab, starts, lastStartMs, started);
      lab.log("exit " + exit);
    }
    System.exit(exit);
  }

  private static int run(
      Lab lab, AtomicInteger starts, AtomicLong lastStartMs, Map<String, Boolean> started)
      throws Exception {
    lab.writeConfig(3);
    List<Worker> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      workers.add(new Worker(lab, "i-7f3a91" + (10 + i), "r1-" + (1 + i / 8), 16_000));
    }
    Lab.Host host = lab.host("front-th-east-a-1");
    lab.start(host);
    if (!lab.awaitServing(host, 20_000)) {
      lab.log("the host does not serve");
      return 2;
    }
    int repetitions = Lab.isCalm() ? CALM_REPETITIONS : REPETITIONS;
    // All occurrences are overdue.
    long firstRunMs = System.currentTimeMillis() - (long) repetitions * INTERVAL_MS;
    String body =
        "{\"spec\":\"ms=60\",\"repetitions\":"
            + repetitions
            + ",\"first_run_ms\":"
            + firstRunMs
            + ",\"interval_ms\":"
            + INTERVAL_MS
            + ",\"steps\":[{\"count\":"
            + TASKS
            + ",\"cpu\":100,\"mem_mb\":16,\"estimated_ms\":60}]}";
    if (lab.call(host, "POST", SCHEDULED, body, true).status() != 200) {
      return 2;
    }
    long untilMs = lab.elapsedMs() + 80_000;
    int wanted = repetitions * TASKS;
    while (lab.elapsedMs() < untilMs
        && starts.get() < wanted
        && (starts.get() == 0 || lab.elapsedMs() - lastStartMs.get() < 5_000)) {
      Thread.sleep(200);
    }
    lab.log(starts.get() + " of " + wanted + " starts; the last one at " + lastStartMs.get());
    Thread.sleep(1_000);
    int running = workers.stream().mapToInt(Worker::runs).sum();
    lab.log(running + " runs on " + WORKERS + " workers");

    // An ordinary job, for which there is room on every worker.
    String small = "00000000000000a1";
    String smallBody = "{\"spec\":\"ms=60\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":16}]}";
    if (lab.call(host, "POST", small, smallBody, true).status() != 200) {
      lab.log("the second job was not accepted");
      return 2;
    }
    long endMs = lab.elapsedMs() + FINISH_MS;
    String state = "";
    while (lab.elapsedMs() < endMs && !state.contains("completed")) {
      Thread.sleep(500);
      state = lab.call(host, "GET", small, null, false).body();
    }
    lab.log("second job: " + state + ", started: " + started.containsKey(small));
    lab.log("scheduled job: " + lab.call(host, "GET", SCHEDULED, null, true).body());
    synchronized (lab.store.refusedForSize) {
      lab.log(
          "appends refused since a record exceeds "
              + Store.RECORD_BYTES
              + " bytes: "
              + lab.store.refusedAppends
              + ", largest record by key: "
              + lab.store.refusedForSize);
    }
    lab.logOutput(host, "ledger", 3);
    if (state.contains("completed")) {
      return 0;
    }
    // Shows whether a restart helps; the result of the case is known already.
    lab.kill(host);
    lab.start(host);
    lab.awaitServing(host, 12_000);
    Thread.sleep(FINISH_MS);
    lab.log("after a restart, second job: " + lab.call(host, "GET", small, null, true).body());
    lab.log("started: " + started.containsKey(small));
    return 1;
  }
}
