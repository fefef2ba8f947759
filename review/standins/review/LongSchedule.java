package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A job that runs many times, beside ordinary jobs. Fails if ordinary jobs that were accepted don't
 * start although nearly all workers are free.
 */
final class LongSchedule {

  private static final int WORKERS = 8;
  private static final int MANY_REPETITIONS = 7_800;
  private static final int FEW_REPETITIONS = 1_000;
  private static final long INTERVAL_MS = 8;
  private static final long TRAFFIC_END_MS = 90_000;

  /** The rule allows 3 s. */
  private static final long START_LIMIT_MS = 8_000;

  private static final String STEP =
      "{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"estimated_ms\":20";

  private LongSchedule() {}

  static int run(Path recordFile, Path folder) throws Exception {
    try (Rig rig = new Rig(recordFile, folder)) {
      Record record = rig.record;
      rig.configure(1, 3, 1);
      for (int i = 0; i < WORKERS; i++) {
        rig.workers.add(
            new Worker(
                record, rig.store, "i-7f3a91c" + i, "kaduna-a", "r1-0", 16_000, 65_536,
                task -> 20));
      }
      rig.startHosts(2);
      int repetitions = Rig.hasTrouble() ? MANY_REPETITIONS : FEW_REPETITIONS;
      String schedule = rig.newId();
      boolean accepted =
          rig.submit(
              schedule,
              ("{\"spec\":\"s\",\"repetitions\":%d,\"first_run_ms\":%d,\"interval_ms\":%d,"
                      + "\"steps\":[" + STEP + "}," + STEP + ",\"after\":[0]}," + STEP
                      + ",\"after\":[1]}]}")
                  .formatted(repetitions, System.currentTimeMillis() + 1_000, INTERVAL_MS));
      if (!accepted) {
        return 2;
      }
      List<String> ids = new ArrayList<>();
      List<Long> acceptedMs = new ArrayList<>();
      while (record.nowMs() < TRAFFIC_END_MS) {
        Thread.sleep(1_000);
        String id = rig.newId();
        if (rig.submit(id, "{\"spec\":\"s\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":512}]}")) {
          ids.add(id);
          acceptedMs.add(record.nowMs());
        }
        record.log("%d runs so far, schedule is %s", record.runs().size(), rig.state(schedule));
      }
      Thread.sleep(START_LIMIT_MS);
      int late = 0;
      for (int i = 0; i < ids.size(); i++) {
        String id = ids.get(i);
        long startMs =
            record.runs().stream()
                .filter(run -> run.job().equals(id))
                .mapToLong(run -> run.startedMs)
                .min()
                .orElse(record.nowMs());
        if (startMs - acceptedMs.get(i) > START_LIMIT_MS) {
          late++;
          record.log(
              "LOST: job %s was accepted at %d ms, has no run until %d ms, and is %s",
              id, acceptedMs.get(i), startMs, rig.state(id));
        }
      }
      record.log("%d of %d ordinary jobs did not start in time", late, ids.size());
      return late > 0 ? 1 : 0;
    }
  }
}
