package review;

import java.nio.file.Path;

/**
 * The coordinator freezes and wakes, then all open connections to the store go silent, and the
 * configuration changes. Fails if a host in touch handles requests as only the older version allows.
 */
final class StaleConfig {

  private static final int WORKERS = 4;
  private static final long TRAFFIC_MS = 8_000;
  private static final long FREEZE_MS = 4_000;
  private static final long CONTACT_MS = 4_000;
  private static final long CONFIG_APPLY_MS = 3_000;
  private static final long MARGIN_MS = 200;
  private static final long PROBE_MS = 8_000;
  private static final String OLD_PREFIX = "/old/";
  private static final String NEW_PREFIX = "/new/";

  private StaleConfig() {}

  static int run(Path recordFile, Path folder) throws Exception {
    try (Rig rig = new Rig(recordFile, folder)) {
      Record record = rig.record;
      rig.configure(1, 3, 1, Rig.PREFIX, OLD_PREFIX);
      for (int i = 0; i < WORKERS; i++) {
        rig.workers.add(
            new Worker(
                record, rig.store, "i-7f3a91c" + i, "kaduna-a", "r1-0", 16_000, 65_536,
                task -> 800));
      }
      rig.startHosts(3, true);
      long trafficEndMs = record.nowMs() + TRAFFIC_MS;
      while (record.nowMs() < trafficEndMs) {
        if (!rig.submit(
            rig.newId(), "{\"spec\":\"s\",\"steps\":[{\"count\":4,\"cpu\":1300,\"mem_mb\":512}]}")) {
          return 2;
        }
        Thread.sleep(200);
      }
      if (Rig.hasTrouble()) {
        String coordinator = coordinator(rig);
        Host frozen =
            rig.hosts.stream().filter(host -> host.name().equals(coordinator)).findAny().get();
        frozen.signal("STOP");
        Thread.sleep(FREEZE_MS);
        frozen.signal("CONT");
        Thread.sleep(1_500);
        record.log("%s coordinates now", coordinator(rig));
        for (int i = 0; i < rig.hosts.size(); i++) {
          record.log(
              "%d open connections of %s to the store go silent",
              rig.storeProxies.get(i).silenceOpen(), rig.hosts.get(i).name());
        }
      }
      final long silentMs = record.nowMs();
      Thread.sleep(300);
      rig.configure(2, 3, 1, Rig.PREFIX, NEW_PREFIX);
      long ackMs = record.nowMs();
      record.log("the store has taken version 2: %s is dropped, %s is new", OLD_PREFIX, NEW_PREFIX);
      Rig.sleepUntil(
          record, Math.max(silentMs + CONTACT_MS, ackMs + CONFIG_APPLY_MS) + MARGIN_MS);
      boolean broken = false;
      long endMs = record.nowMs() + PROBE_MS;
      while (record.nowMs() < endMs) {
        for (Host host : rig.hosts) {
          int added = rig.callPath(host, "GET", NEW_PREFIX, "").status();
          int dropped = rig.callPath(host, "GET", OLD_PREFIX, "").status();
          boolean stale = added == 404 || dropped == 200;
          broken |= stale;
          record.log(
              "%sGET %s at %s is answered %d, GET %s %d, %d ms after the ack",
              stale ? "CONFIG: " : "", NEW_PREFIX, host.name(), added, OLD_PREFIX, dropped,
              record.nowMs() - ackMs);
        }
        Thread.sleep(400);
      }
      return broken ? 1 : 0;
    }
  }

  /** Returns the name of the host in the newest heartbeat. */
  private static String coordinator(Rig rig) {
    return rig.store.get("keyed.hickorymoor", "2", "coordinator").split("\n")[1];
  }
}
