package review;

import java.nio.file.Path;
import java.util.Collections;
import java.util.Comparator;

/**
 * A worker drains and its link is cut with refused connections. Fails if a task of it runs on
 * another worker while it still runs there.
 */
final class DrainRefuse {

  private static final int WORKERS = 16;
  private static final long TASK_MS = 25_000;
  private static final long CUT_AFTER_MS = 300;
  private static final long CUT_MS = 5_500;
  private static final long EXIT_AFTER_MS = 9_000;
  private static final long WATCH_MS = 14_000;

  private DrainRefuse() {}

  static int run(Path recordFile, Path folder) throws Exception {
    try (Rig rig = new Rig(recordFile, folder)) {
      Record record = rig.record;
      rig.configure(1, 3, 1);
      for (int i = 0; i < WORKERS; i++) {
        rig.workers.add(
            new Worker(
                record, rig.store, "i-7f3a91" + (10 + i), "kaduna-a", "r1-" + i / 8, 16_000, 65_536,
                task -> TASK_MS));
      }
      rig.startHosts(2);
      String id = rig.newId();
      boolean accepted =
          rig.submit(
              id,
              "{\"spec\":\"s\",\"steps\":[{\"count\":12,\"cpu\":5000,\"mem_mb\":512,"
                  + "\"estimated_ms\":" + TASK_MS + "}]}");
      long limitMs = record.nowMs() + 5_000;
      while (record.runs().size() < 12 && record.nowMs() < limitMs) {
        Thread.sleep(50);
      }
      if (!accepted || record.runs().size() < 12) {
        record.log("the job does not run");
        return 2;
      }
      Thread.sleep(2_000);
      Worker leaving = Collections.max(rig.workers, Comparator.comparingInt(Worker::runs));
      leaving.drain();
      long drainedMs = record.nowMs();
      if (Rig.hasTrouble()) {
        Rig.sleepUntil(record, drainedMs + CUT_AFTER_MS);
        record.log("%s is cut off: its connections are refused", leaving.id());
        leaving.reachStore(false);
        leaving.proxy().refuse();
        Rig.sleepUntil(record, drainedMs + CUT_AFTER_MS + CUT_MS);
        leaving.proxy().reopen();
        leaving.reachStore(true);
        record.log("the cut of %s has healed", leaving.id());
      }
      Rig.sleepUntil(record, drainedMs + EXIT_AFTER_MS);
      record.log("%s exits", leaving.id());
      leaving.crash();
      Rig.sleepUntil(record, drainedMs + WATCH_MS);
      return Checks.overlaps(record) ? 1 : 0;
    }
  }
}
