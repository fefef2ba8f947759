import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Some seconds after a few wide jobs, the open connections to the workers go silent for good while
 * new ones work. Do the tasks that last stay at work?
 */
final class Case10 {
  private static final int HOSTS = 3;
  private static final int WORKERS = 6;
  private static final int LASTING = 8;
  private static final int MISS_ALLOWED = 1;
  private static final String SERVICE = "00000000000000a0";
  private static final int WIDE_JOBS = 4;
  private static final int WIDTH = 50;
  private static final long CONTACT_MS = 4_000;

  /** On top of the bound, for the clock and the threads of this program. */
  private static final long SLACK_MS = 100;

  private static final long WATCH_MS = 16_000;

  /** Checks each lapse of the service's tasks. */
  private static final class Availability extends Ledger {
    private final Recorder recorder;
    private final Set<String> atWork = new HashSet<>();
    private final Set<String> lapsed = new HashSet<>();
    private volatile long silentNs;
    private int broken;

    Availability(Recorder recorder) {
      super(recorder, true);
      this.recorder = recorder;
    }

    @Override
    public synchronized void onStart(Worker worker, String task, int run) {
      super.onStart(worker, task, run);
      if (task.startsWith(SERVICE)) {
        atWork.add(task);
        lapsed.remove(task);
      }
    }

    @Override
    public synchronized void onEnd(Worker worker, String task, int run, String how) {
      super.onEnd(worker, task, run, how);
      if (!task.startsWith(SERVICE)) {
        return;
      }
      atWork.remove(task);
      long sinceMs = (System.nanoTime() - silentNs) / 1_000_000;
      boolean near = silentNs != 0 && sinceMs <= CONTACT_MS + SLACK_MS;
      if (how.equals("lapsed") && !near) {
        if (lapsed.size() >= MISS_ALLOWED) {
          broken++;
          recorder.note(
              "AVAIL: the lease of " + task + " lapses on the sound worker " + worker.id + ", "
                  + sinceMs + " ms after the connections went silent, while " + lapsed.size()
                  + " others of its step are away; allowed: " + MISS_ALLOWED);
        }
        lapsed.add(task);
      }
    }

    synchronized int atWork() {
      return atWork.size();
    }

    synchronized int broken() {
      return broken;
    }
  }

  private Case10() {}

  public static void main(String[] args) {
    Lab.play(args, Case10::run);
  }

  private static int run(Lab lab, boolean trouble) throws Exception {
    Recorder recorder = lab.recorder;
    Store store = new Store(recorder);
    Availability seen = new Availability(recorder);
    store.put("keyed.op", "config", Lab.config(1, "queue"));
    List<Proxy> proxies = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      Worker worker =
          new Worker("i-7f3a91" + (10 + i), store, seen, recorder, "\"a\",\"r1-1\"", 16_000);
      proxies.add(worker.startProxied());
    }
    List<Lab.Host> hosts = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(lab.host("host-" + i, i, store.address(), 6_000));
      hosts.get(i).start();
    }
    for (Lab.Host host : hosts) {
      host.awaitReady();
    }
    Lab.sleep(2_000);
    boolean accepted =
        submit(
            recorder,
            hosts.get(0),
            SERVICE,
            "{\"spec\":\"ms=-1\",\"steps\":[{\"count\":" + LASTING + ",\"cpu\":1000,"
                + "\"mem_mb\":64,\"long_running\":true,\"anti_affinity\":2,\"miss_allowed\":"
                + MISS_ALLOWED + "}]}");
    Lab.sleep(8_000);
    recorder.note("tasks of the service at work: " + seen.atWork());
    if (!accepted || seen.atWork() != LASTING) {
      return 2;
    }
    for (int i = 0; i < WIDE_JOBS; i++) {
      submit(
          recorder,
          hosts.get(i % HOSTS),
          "00000000000000b" + i,
          "{\"spec\":\"ms=300\",\"steps\":[{\"count\":" + WIDTH + ",\"cpu\":400,\"mem_mb\":8,"
              + "\"estimated_ms\":300}]}");
    }
    Lab.sleep(3_000);
    seen.silentNs = System.nanoTime();
    for (int i = 0; i < WORKERS && trouble; i++) {
      recorder.note(
          "the " + proxies.get(i).silence() + " open connections to worker i-7f3a91" + (10 + i)
              + " go silent");
    }
    Lab.sleep(WATCH_MS);
    recorder.note("tasks of the service at work: " + seen.atWork());
    lab.noteLogs("does not answer|answers again| lost: ", 24);
    recorder.note(
        seen.broken() == 0 ? "the rule held" : "AVAIL was broken by " + seen.broken() + " lapses");
    return seen.broken() == 0 ? 0 : 1;
  }

  private static boolean submit(Recorder recorder, Lab.Host host, String id, String job) {
    Lab.Answer answer = Lab.call(host.front, "POST", "/queue/" + id, job, 3_000);
    recorder.note("POST " + id + " at " + host.name + " " + job + " -> " + answer.status());
    return answer.status() == 200;
  }
}
