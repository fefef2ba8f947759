package review;

import java.nio.file.Path;

/**
 * The only large worker is lost for good while a task runs there that needs nearly all of an
 * ordinary worker. All other workers are empty. Fails if the task has no run for much longer than
 * the rule allows.
 */
final class WholeWorker {

  private static final int ORDINARY_WORKERS = 7;
  private static final int ORDINARY_CPU = 16_000;
  private static final int LARGE_CPU = 32_000;
  private static final int TASK_CPU = 15_500;
  private static final long TASK_MS = 12_000;
  private static final long START_LIMIT_MS = 5_000;
  private static final long WATCH_MS = 40_000;

  /** The rule allows 3 s from the moment at which the worker counts as gone. */
  private static final long ALLOWED_MS = 3_000;

  /** Lease of the lost run, the silent intervals of its entry, and one poll of each. */
  private static final long DETECTION_MS = 8_000;

  private WholeWorker() {}

  static int run(Path recordFile, Path folder) throws Exception {
    try (Rig rig = new Rig(recordFile, folder)) {
      Record record = rig.record;
      rig.configure(1, 3, 2);
      Worker large =
          new Worker(
              record, rig.store, "i-7f3a91c9", "kaduna-a", "r1-0", LARGE_CPU, 65_536,
              task -> TASK_MS);
      rig.workers.add(large);
      for (int i = 0; i < ORDINARY_WORKERS; i++) {
        rig.workers.add(
            new Worker(
                record, rig.store, "i-7f3a91c" + i, "kaduna-a", "r1-0", ORDINARY_CPU, 65_536,
                task -> TASK_MS));
      }
      rig.startHosts(2);
      String id = rig.newId();
      boolean accepted =
          rig.submit(
              id,
              ("{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":%d,\"mem_mb\":4000,"
                      + "\"estimated_ms\":%d}]}")
                  .formatted(TASK_CPU, TASK_MS));
      long limitMs = record.nowMs() + START_LIMIT_MS;
      while (record.runs().isEmpty() && record.nowMs() < limitMs) {
        Thread.sleep(50);
      }
      if (!accepted || record.runs().isEmpty()) {
        record.log("the job does not run");
        return 2;
      }
      Thread.sleep(2_000);
      long lostMs = record.nowMs();
      if (Rig.hasTrouble()) {
        large.crash();
      }
      long idleSinceMs = lostMs + DETECTION_MS;
      while (record.nowMs() < lostMs + WATCH_MS && !rig.state(id).equals("completed")) {
        Thread.sleep(1_000);
        int running = rig.workers.stream().mapToInt(Worker::runs).sum();
        record.log(
            "job %s is %s, %d tasks run, %d workers of %d cpu each are up and empty",
            id, rig.state(id), running,
            rig.workers.stream().filter(w -> w != large && w.isUp() && w.runs() == 0).count(),
            ORDINARY_CPU);
        if (running > 0) {
          idleSinceMs = Math.max(idleSinceMs, record.nowMs());
        }
      }
      record.runs().forEach(run -> record.log("run: %s", run));
      if (rig.state(id).equals("completed")) {
        record.log("the job is completed");
        return 0;
      }
      long idleMs = record.nowMs() - idleSinceMs;
      record.log("LOST: job %s has nothing running for %d ms", id, idleMs);
      return idleMs > ALLOWED_MS ? 1 : 0;
    }
  }
}
