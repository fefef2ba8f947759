import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker is cut off just after it has started a task, completes it, crashes behind the cut and
 * starts again; then the same happens to the next one. Is the job given up?
 */
final class Case8 {
  private static final int HOSTS = 3;
  private static final int WORKERS = 6;
  private static final String JOB = "00000000000000a0";
  private static final int WORK_MS = 300;
  private static final long CUT_AFTER_START_MS = 200;
  private static final long CRASH_AFTER_CUT_MS = 1_500;
  private static final long CUT_MS = 3_000;
  private static final int CUTS = 2;
  private static final long WATCH_MS = 60_000;

  /** Notes where the job's task starts and ends, and what a crash ends. */
  private static final class Runs extends Ledger {
    private String startedOn;
    private int runsLostInCrash;

    Runs(Recorder recorder) {
      super(recorder, true);
    }

    @Override
    public synchronized void onStart(Worker worker, String task, int run) {
      super.onStart(worker, task, run);
      startedOn = worker.id;
      notifyAll();
    }

    @Override
    public synchronized void onEnd(Worker worker, String task, int run, String how) {
      super.onEnd(worker, task, run, how);
      runsLostInCrash += how.equals("crash") ? 1 : 0;
    }

    /** Waits for the next start; returns the worker, or null if there is none in time. */
    synchronized String awaitStart(long withinMs) {
      long endNs = System.nanoTime() + withinMs * 1_000_000;
      while (startedOn == null && System.nanoTime() < endNs) {
        Lab.await(this, 50);
      }
      String started = startedOn;
      startedOn = null;
      return started;
    }

    synchronized int runsLostInCrash() {
      return runsLostInCrash;
    }
  }

  private Case8() {}

  public static void main(String[] args) {
    Lab.play(args, Case8::run);
  }

  private static int run(Lab lab, boolean trouble) throws Exception {
    Recorder recorder = lab.recorder;
    Store store = new Store(recorder);
    Runs runs = new Runs(recorder);
    store.put("keyed.op", "config", Lab.config(1, "queue"));
    Map<String, Worker> workers = new HashMap<>();
    Map<String, Proxy> links = new HashMap<>();
    for (int i = 0; i < WORKERS; i++) {
      Worker worker =
          new Worker("i-7f3a91" + (10 + i), store, runs, recorder, "\"a\",\"r1-1\"", 16_000);
      links.put(worker.id, worker.startProxied());
      workers.put(worker.id, worker);
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
    String job =
        "{\"spec\":\"ms=" + WORK_MS + "\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"
            + "\"estimated_ms\":" + WORK_MS + "}]}";
    Lab.Answer answer = Lab.call(hosts.get(0).front, "POST", "/queue/" + JOB, job, 3_000);
    recorder.note("POST " + JOB + " at host-0 " + job + " -> " + answer.status());
    if (answer.status() != 200) {
      return 2;
    }
    for (int cut = 0; cut < CUTS && trouble; cut++) {
      String id = runs.awaitStart(20_000);
      if (id == null) {
        break;
      }
      Lab.sleep(CUT_AFTER_START_MS);
      recorder.note("the link to " + id + " is cut, connections are refused");
      links.get(id).refuse();
      Lab.sleep(CRASH_AFTER_CUT_MS);
      recorder.note("worker " + id + " crashes behind the cut, with " + workers.get(id).runs()
          + " runs, and starts again");
      workers.get(id).kill();
      Lab.sleep(500);
      workers.get(id).start();
      Lab.sleep(CUT_MS - CRASH_AFTER_CUT_MS - 500);
      recorder.note("the link to " + id + " is whole again");
      links.get(id).heal();
    }
    long beganNs = System.nanoTime();
    String state = "";
    while (System.nanoTime() - beganNs < WATCH_MS * 1_000_000
        && !state.contains("failed")
        && !state.contains("completed")) {
      state = Lab.call(hosts.get(1).front, "GET", "/queue/" + JOB, null, 3_000).body();
      Lab.sleep(500);
    }
    recorder.note(
        "GET " + JOB + " at host-1 -> " + state + "; runs that a crash ended: "
            + runs.runsLostInCrash());
    lab.noteLogs("suspected|has ended|does not answer|has crashed| lost: ", 16);
    if (runs.runsLostInCrash() > 0) {
      recorder.note("a crash hit a run, so that the case shows nothing");
      return 2;
    }
    boolean held = state.contains("completed");
    recorder.note(
        held
            ? "the rule held"
            : state.contains("failed")
                ? "LOST: the job is shown as failed without cause"
                : "the job did not end");
    return held ? 0 : state.contains("failed") ? 1 : 2;
  }
}
