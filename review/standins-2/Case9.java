import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Machines have been removed for good, and others have come at other addresses. Does a job of a
 * queue with advice start?
 */
final class Case9 {
  private static final int REMOVED = 32;
  private static final int AT_ONCE = 8;
  private static final int HOSTS = 3;
  private static final int WORKERS = 6;
  private static final String JOB = "00000000000000a0";
  private static final String PLAIN_JOB = "00000000000000a1";
  private static final long FINISH_MS = 14_000;
  private static final long IDLE_MS = 3_000;
  private static final long WATCH_MS = 45_000;

  /** Longer than {@code contact_ms}. */
  private static final long SETTLE_MS = 6_000;

  /** What keeps connections to the addresses of removed machines from being answered. */
  private static final List<Closeable> silencers = new ArrayList<>();

  private Case9() {}

  public static void main(String[] args) {
    Lab.play(args, Case9::run);
  }

  private static int run(Lab lab, boolean trouble) throws Exception {
    Recorder recorder = lab.recorder;
    Store store = new Store(recorder);
    Ledger ledger = new Ledger(recorder, true);
    lab.setAdvice(new Advice(recorder).address());
    store.put("keyed.op", "config", Lab.config(1, "queue", "advised"));
    for (int i = 0; i < WORKERS; i++) {
      new Worker("i-7f3a91" + (10 + i), store, ledger, recorder, "\"a\",\"r1-1\"", 16_000).start();
    }
    for (int first = 0; first < REMOVED && trouble; first += AT_ONCE) {
      List<Lab.Host> batch = new ArrayList<>();
      for (int i = first; i < first + AT_ONCE; i++) {
        batch.add(lab.host(name(i), i, store.address(), 6_000));
        batch.get(i - first).start();
      }
      for (Lab.Host host : batch) {
        host.awaitReady();
      }
      Lab.sleep(500);
      for (Lab.Host host : batch) {
        host.signal("KILL");
        Lab.sleep(50);
        answerNobody(host.peer);
      }
    }
    recorder.note("the machines " + name(0) + " to " + name(REMOVED - 1) + " are removed for good");
    List<Lab.Host> hosts = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(lab.host(name(REMOVED + i), REMOVED + i, store.address(), 6_000));
      hosts.get(i).start();
    }
    for (Lab.Host host : hosts) {
      host.awaitReady();
    }
    Lab.sleep(SETTLE_MS);

    if (!submit(recorder, hosts.get(0), "queue", PLAIN_JOB)) {
      return 2;
    }
    Lab.sleep(1_000);
    recorder.note("starts of the job without advice: " + ledger.startsOf(PLAIN_JOB));
    if (ledger.startsOf(PLAIN_JOB) == 0) {
      return 2;
    }
    if (!submit(recorder, hosts.get(0), "advised", JOB)) {
      return 2;
    }
    long beganNs = System.nanoTime();
    while (elapsedMs(beganNs) < WATCH_MS && ledger.startsOf(JOB) == 0) {
      Lab.sleep(20);
    }
    long waitedMs = elapsedMs(beganNs);
    recorder.note(
        "the job with advice was started " + ledger.startsOf(JOB) + " times, first after "
            + waitedMs + " ms; " + WORKERS + " workers are idle");
    lab.noteLogs("advice: Approval request|is elected", 30);
    boolean held = waitedMs <= FINISH_MS + IDLE_MS;
    recorder.note(
        held ? "the rule held" : "LOST: nothing of an accepted job runs though there is room");
    return held ? 0 : 1;
  }

  private static String name(int number) {
    return String.format("front-z1-%02d", number + 1);
  }

  /** Makes an address like that of a machine without power: connections to it hang. */
  private static void answerNobody(String address) throws Exception {
    int colon = address.lastIndexOf(':');
    InetSocketAddress silent =
        new InetSocketAddress(
            InetAddress.getByName(address.substring(0, colon)),
            Integer.parseInt(address.substring(colon + 1)));
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(silent, 1);
    silencers.add(server);
    for (int i = 0; i < 4; i++) {
      Socket filler = new Socket();
      try {
        filler.connect(silent, 100);
        silencers.add(filler);
      } catch (java.net.SocketTimeoutException e) {
        filler.close();
        return;
      }
    }
    throw new IllegalStateException("connections to " + address + " don't hang");
  }

  private static boolean submit(Recorder recorder, Lab.Host host, String queue, String id) {
    String job =
        "{\"spec\":\"ms=100\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,"
            + "\"estimated_ms\":100}]}";
    Lab.Answer answer = Lab.call(host.front, "POST", "/" + queue + "/" + id, job, 3_000);
    recorder.note("POST /" + queue + "/" + id + " at " + host.name + " -> " + answer.status());
    return answer.status() == 200;
  }

  private static long elapsedMs(long sinceNs) {
    return (System.nanoTime() - sinceNs) / 1_000_000;
  }
}
