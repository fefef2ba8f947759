import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The store holds what the system has written for the jobs of one day, all of them ended. Then the
 * coordinating process is killed. Are callers answered again?
 */
final class Case6 {
  private static final int HOSTS = 3;
  private static final int WORKERS = 6;

  /** One day of the site's traffic: 9.37 + 1.06 + 0.0937 jobs a second. */
  private static final int JOBS_BEFORE = 900_000;

  /** Where the system keeps the state of jobs. */
  private static final String LEDGER_TOPIC = "keyed.hickorymoor";

  private static final String LEDGER_PART = "1";

  private static final String JOB = "00000000000000a0";
  private static final String LATER_JOB = "00000000000000b0";
  private static final String BODY =
      "{\"spec\":\"ms=100\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,"
          + "\"estimated_ms\":100}]}";

  /** Jobs are asked for {@code finish_s} after the last trouble. */
  private static final long FINISH_MS = 14_000;

  private static final long WATCH_MS = 70_000;

  /** The time budget of a client. */
  private static final int BUDGET_MS = 3_000;

  /** A process that has ended is started again after a short delay. */
  private static final long RESTART_MS = 1_000;

  private Case6() {}

  public static void main(String[] args) {
    Lab.play(args, Case6::run);
  }

  private static int run(Lab lab, boolean trouble) throws Exception {
    Recorder recorder = lab.recorder;
    Store store = new Store(recorder);
    Ledger ledger = new Ledger(recorder, true);
    store.put("keyed.op", "config", Lab.config(1, "queue"));
    for (int i = 0; i < WORKERS; i++) {
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
    Lab.sleep(2_000);

    submit(recorder, hosts.get(0), JOB);
    Lab.sleep(3_000);
    Lab.Answer state = Lab.call(hosts.get(1).front, "GET", "/queue/" + JOB, null, 3_000);
    recorder.note("GET " + JOB + " at host-1 -> " + state);
    byte[] ended = store.newestValue(LEDGER_TOPIC, LEDGER_PART, JOB);
    if (!state.body().contains("completed") || ended == null) {
      return 2;
    }
    store.addHistory(LEDGER_TOPIC, LEDGER_PART, earlierJobs(), ended);
    recorder.note(
        "the store holds " + JOBS_BEFORE + " records of earlier jobs, each the " + ended.length
            + " bytes that the system has just written for " + JOB);

    int coordinator = 0;
    for (int i = 0; i < HOSTS; i++) {
      coordinator = proxies.get(i).open() > proxies.get(coordinator).open() ? i : coordinator;
    }
    if (trouble) {
      hosts.get(coordinator).signal("KILL");
    }
    return watch(lab, hosts, ledger);
  }

  private static int watch(Lab lab, List<Lab.Host> hosts, Ledger ledger) throws Exception {
    Recorder recorder = lab.recorder;
    long beganNs = System.nanoTime();
    int asked = 0;
    int answered = 0;
    boolean submitted = false;
    while (elapsedMs(beganNs) < WATCH_MS) {
      for (Lab.Host host : hosts) {
        if (!host.isAlive()) {
          recorder.note("the process of " + host.name + " has ended");
          Lab.sleep(RESTART_MS);
          host.start();
        }
        Lab.Answer answer = Lab.call(host.front, "GET", "/queue/" + JOB, null, BUDGET_MS);
        if (elapsedMs(beganNs) > FINISH_MS) {
          asked++;
          answered += answer.status() == 200 ? 1 : 0;
          recorder.count("GET " + JOB + " at " + host.name + " -> " + answer.status());
        }
      }
      if (elapsedMs(beganNs) > FINISH_MS && !submitted) {
        submitted = true;
        submit(recorder, hosts.get(0), LATER_JOB);
      }
      Lab.sleep(500);
    }
    recorder.note(
        answered + " of " + asked + " requests for the state of " + JOB + " were answered with 200"
            + " later than " + FINISH_MS + " ms; the tasks of " + LATER_JOB + " were started "
            + ledger.startsOf(LATER_JOB) + " times");
    lab.noteLogs("is elected|Took over|Requesting a successor|Terminating", 12);
    boolean held = answered > 0;
    recorder.note(held ? "the rule held" : "LOST: no host answers for an accepted job");
    return held ? 0 : 1;
  }

  private static List<String> earlierJobs() {
    Random random = new Random(1);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < JOBS_BEFORE; i++) {
      ids.add(String.format("%016x", random.nextLong()));
    }
    return ids;
  }

  private static void submit(Recorder recorder, Lab.Host host, String id) {
    Lab.Answer answer = Lab.call(host.front, "POST", "/queue/" + id, BODY, 3_000);
    recorder.note("POST " + id + " at " + host.name + " " + BODY + " -> " + answer.status());
  }

  private static long elapsedMs(long sinceNs) {
    return (System.nanoTime() - sinceNs) / 1_000_000;
  }
}
