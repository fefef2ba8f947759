import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The coordinating host freezes and wakes; later, open connections to the store go silent for good
 * while new ones work. Does each host in touch apply a configuration in time?
 */
final class Case10 {
  private static final int HOSTS = 3;
  private static final long FREEZE_MS = 4_000;
  private static final long WAKE_MS = 4_500;
  private static final long CONTACT_MS = 4_000;
  private static final long CONFIG_APPLY_MS = 3_000;

  /** The most that an unstable store stretches the bound by; it is stable here. */
  private static final long MAX_STRETCH_MS = 6_000;

  /** On top of the bounds, for the clock and the threads of this program. */
  private static final long SLACK_MS = 100;

  private static final long WATCH_MS = 14_000;
  private static final String JOB =
      "{\"spec\":\"ms=100\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,"
          + "\"estimated_ms\":100}]}";

  private static volatile boolean ended;

  private Case10() {}

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
    Ledger ledger = new Ledger(recorder, false);
    store.put("keyed.op", "config", Lab.config(1, "queue"));
    for (int i = 0; i < 6; i++) {
      new Worker("i-7f3a91" + (10 + i), store, ledger, recorder, "\"a\",\"r1-1\"", 16_000).start();
    }
    List<Lab.Host> hosts = new ArrayList<>();
    List<Proxy> proxies = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      proxies.add(new Proxy(store.address()));
      hosts.add(lab.host("host-" + i, i, proxies.get(i).address(), 6_000));
      hosts.get(i).start();
    }
    for (Lab.Host host : hosts) {
      host.awaitReady();
    }
    Lab.sleep(1_000);
    for (int i = 0; i < HOSTS; i++) {
      int number = i;
      Lab.daemonThread(() -> submitJobs(hosts.get(number), number)).start();
    }
    Lab.sleep(6_000);

    int coordinator = 0;
    for (int i = 0; i < HOSTS; i++) {
      recorder.note(hosts.get(i).name + " has " + proxies.get(i).open() + " store connections");
      coordinator = proxies.get(i).open() > proxies.get(coordinator).open() ? i : coordinator;
    }
    if (trouble) {
      hosts.get(coordinator).signal("STOP");
      Lab.sleep(FREEZE_MS);
      hosts.get(coordinator).signal("CONT");
    }
    Lab.sleep(WAKE_MS);
    long silentNs = System.nanoTime();
    for (int i = 0; i < HOSTS && trouble; i++) {
      recorder.note(
          "the " + proxies.get(i).silence() + " store connections of " + hosts.get(i).name
              + " go silent");
    }
    store.put("keyed.op", "config", Lab.config(2, "queue", "added"));
    long ackNs = System.nanoTime();
    recorder.note("version 2, which adds a route, is acknowledged");

    boolean held = true;
    int wrong = 0;
    int wrongStretched = 0;
    boolean[] known = new boolean[HOSTS];
    while (elapsedMs(ackNs) < WATCH_MS) {
      for (int i = 0; i < HOSTS; i++) {
        long sinceAckMs = elapsedMs(ackNs);
        long sinceSilentMs = elapsedMs(silentNs);
        Lab.Answer answer = Lab.call(hosts.get(i).front, "GET", "/added/", null, 1_000);
        String what =
            "GET /added/ at " + hosts.get(i).name + ", " + sinceAckMs + " ms after the ack -> "
                + answer.status();
        boolean due = sinceAckMs > CONFIG_APPLY_MS + SLACK_MS;
        boolean inTouch = !trouble || sinceSilentMs > CONTACT_MS + SLACK_MS;
        if (answer.status() == 404 && due && inTouch) {
          held = false;
          wrong++;
          wrongStretched += sinceAckMs > CONFIG_APPLY_MS + MAX_STRETCH_MS + SLACK_MS ? 1 : 0;
          recorder.note("CONFIG: " + what + ", in touch");
        } else if (answer.status() == 200 && !known[i]) {
          known[i] = true;
          recorder.note(what + ", the host knows the route");
        }
      }
      Lab.sleep(50);
    }
    ended = true;
    lab.noteLogs("is the coordinator|is elected|Term of this host|config:", 12);
    recorder.note(
        held
            ? "the rule held"
            : "CONFIG was broken: "
                + wrong
                + " answers 404, "
                + wrongStretched
                + " of them also beyond the bound stretched by max_stretch_ms");
    return held && known[0] && known[1] && known[2] ? 0 : held ? 2 : 1;
  }

  private static void submitJobs(Lab.Host host, int number) {
    for (int n = 1; !ended; n++) {
      String id = String.format("%016x", (number + 1L) << 32 | n);
      Lab.call(host.front, "POST", "/queue/" + id, JOB, 3_000);
      Lab.sleep(100);
    }
  }

  private static long elapsedMs(long sinceNs) {
    return (System.nanoTime() - sinceNs) / 1_000_000;
  }
}
