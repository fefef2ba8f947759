import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A worker that receives its orders by calls. Tasks take as long as the job's spec says: {@code
 * ms=500}; those that last ({@code ms=-1}) take forever. A task with {@code crash=700} in its spec
 * crashes the worker after so many milliseconds.
 */
final class Worker {
  private static final long TICK_MS = 5;
  private static final long MAX_HOLD_MS = 6_000;
  private static final int MAX_ENDED = 500;
  private static final long BACK_MS = 3_000;

  /** Hears what a worker does; the times are the record's. */
  interface Listener {
    void onStart(Worker worker, String task, int run);

    void onEnd(Worker worker, String task, int run, String how);

    /** The worker crashes under a task; called before the ends of its runs. */
    default void onCrash(Worker worker, String task, int run) {}
  }

  private static final class Run {
    final int run;
    final long endsMs;
    int percent = 100;

    Run(int run, long endsMs) {
      this.run = run;
      this.endsMs = endsMs;
    }
  }

  private record End(long number, String task, int run, String how) {}

  final String id;
  private final Store store;
  private final Listener listener;
  private final Recorder recorder;
  private final Map<String, Run> running = new HashMap<>();
  private final Map<String, Integer> highest = new HashMap<>();
  private final List<End> ended = new ArrayList<>();
  private int port;
  private HttpServer server;
  private ExecutorService threads;
  private ScheduledExecutorService timer;
  private long startNs;
  private long bornMs;
  private long lastNumber;
  private long fence;
  private long untilMs;
  private int sequence;
  private String labels;
  private int cpu;
  private Proxy proxy;
  private volatile long roundTripMs;

  Worker(String id, Store store, Listener listener, Recorder recorder, String labels, int cpu) {
    this.id = id;
    this.store = store;
    this.listener = listener;
    this.recorder = recorder;
    this.labels = labels;
    this.cpu = cpu;
  }

  synchronized void start() throws IOException {
    startNs = System.nanoTime();
    bornMs = System.currentTimeMillis();
    lastNumber = 0;
    fence = 0;
    untilMs = 0;
    sequence = 0;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
    port = server.getAddress().getPort();
    threads = Executors.newCachedThreadPool(Lab::daemonThread);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
    timer = Executors.newSingleThreadScheduledExecutor(Lab::daemonThread);
    timer.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(this::beat, 0, 1_500, TimeUnit.MILLISECONDS);
  }

  /** Ends at once, as after a kill; sends nothing. */
  void kill() {
    synchronized (this) {
      timer.shutdownNow();
      running.forEach((task, run) -> listener.onEnd(this, task, run.run, "crash"));
      running.clear();
      highest.clear();
      ended.clear();
      notifyAll();
    }
    server.stop(0);
    threads.shutdownNow();
  }

  /** Starts behind a proxy, whose address it announces. */
  Proxy startProxied() throws IOException {
    try (java.net.ServerSocket free = new java.net.ServerSocket(0)) {
      port = free.getLocalPort();
    }
    proxy = new Proxy("127.0.0.1:" + port);
    start();
    return proxy;
  }

  synchronized void setLabels(String newLabels, int newCpu) {
    labels = newLabels;
    cpu = newCpu;
  }

  /** Sets how long the way to the worker and back takes. */
  void setRoundTripMs(long ms) {
    roundTripMs = ms;
  }

  synchronized boolean hasLabel(String label) {
    return labels.contains("\"" + label + "\"");
  }

  synchronized int runs() {
    return running.size();
  }

  private long clockMs() {
    return 1 + (System.nanoTime() - startNs) / 1_000_000;
  }

  private void beat() {
    String entry;
    synchronized (this) {
      sequence++;
      entry =
          "{\"service\":\"svc\",\"address\":\""
              + (proxy == null ? "127.0.0.1:" + port : proxy.address())
              + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
              + "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":"
              + cpu
              + ",\"mem_mb\":65536,\"gpu\":0},\"labels\":["
              + labels
              + "],\"clock_ms\":"
              + clockMs()
              + ",\"sequence\":"
              + sequence
              + ",\"born\":"
              + bornMs
              + "}";
    }
    store.put("keyed.servers", id, entry);
  }

  private synchronized void tick() {
    long now = clockMs();
    boolean any = false;
    for (String task : List.copyOf(running.keySet())) {
      Run run = running.get(task);
      if (now >= untilMs) {
        end(task, run, "lapsed");
        any = true;
      } else if (now >= run.endsMs) {
        end(task, run, "done");
        any = true;
      }
    }
    if (any) {
      notifyAll();
    }
  }

  private void end(String task, Run run, String how) {
    running.remove(task);
    highest.merge(task, run.run, Math::max);
    ended.add(new End(++lastNumber, task, run.run, how));
    listener.onEnd(this, task, run.run, how);
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      String body = new String(exchange.getRequestBody().readAllBytes());
      if (roundTripMs > 0) {
        Lab.sleep(roundTripMs);
      }
      String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
      if (expected != null && !expected.equals(id)) {
        Lab.reply(exchange, 421, "{}");
        return;
      }
      switch (exchange.getRequestURI().getPath()) {
        case "/api/run-start" -> runStart(exchange, body);
        case "/api/run-stop" -> runStop(exchange, body);
        case "/api/hold" -> hold(exchange, body);
        case "/api/pace" -> Lab.reply(exchange, 200, "{\"clock_ms\":" + clockMs() + "}");
        default -> Lab.reply(exchange, 404, "{}");
      }
    } catch (IOException e) {
      exchange.close();
    }
  }

  private void runStart(HttpExchange exchange, String body) throws IOException {
    String task = Lab.text(body, "task");
    int run = (int) Lab.number(body, "run", 0);
    long until = Lab.number(body, "until_ms", 0);
    long token = Lab.number(body, "fencing_token", 0);
    String reason = null;
    synchronized (this) {
      Run present = running.get(task);
      if (token < fence) {
        reason = "fence";
      } else {
        fence = token;
        if (until <= clockMs()) {
          reason = "late";
        } else {
          extend(until);
          if (present != null && present.run == run) {
            reason = null;
          } else if (run <= highest.getOrDefault(task, 0)
              || (present != null && present.run > run)) {
            reason = "old";
          } else {
            long workMs = Lab.specMs(Lab.text(body, "spec"));
            running.put(task, new Run(run, workMs < 0 ? Long.MAX_VALUE : clockMs() + workMs));
            listener.onStart(this, task, run);
            long crashMs = Lab.specCrashMs(Lab.text(body, "spec"));
            if (crashMs >= 0) {
              Lab.daemonThread(() -> crashUnder(task, run, crashMs)).start();
            }
          }
        }
      }
    }
    Lab.reply(
        exchange,
        reason == null ? 200 : 409,
        "{\"clock_ms\":"
            + clockMs()
            + (reason == null ? "}" : ",\"reason\":\"" + reason + "\"}"));
  }

  /** Crashes under a task that has been at work for a while, and comes back after some seconds. */
  private void crashUnder(String task, int run, long afterMs) {
    Lab.sleep(afterMs);
    synchronized (this) {
      Run present = running.get(task);
      if (present == null || present.run != run) {
        return;
      }
      recorder.note("worker " + id + " crashes under " + task + " run " + run);
      listener.onCrash(this, task, run);
    }
    kill();
    Lab.sleep(BACK_MS);
    try {
      start();
      recorder.note("worker " + id + " is back");
    } catch (IOException e) {
      recorder.note("worker " + id + " could not start again: " + e);
    }
  }

  private void extend(long until) {
    untilMs = Math.max(untilMs, Math.min(until, clockMs() + MAX_HOLD_MS));
  }

  private void runStop(HttpExchange exchange, String body) throws IOException {
    String task = Lab.text(body, "task");
    int run = (int) Lab.number(body, "run", 0);
    boolean fenced;
    synchronized (this) {
      long token = Lab.number(body, "fencing_token", 0);
      fenced = token < fence;
      if (!fenced) {
        fence = token;
        highest.merge(task, run, Math::max);
        Run present = running.get(task);
        if (present != null && present.run <= run) {
          end(task, present, "stopped");
          notifyAll();
        }
      }
    }
    Lab.reply(
        exchange,
        fenced ? 409 : 200,
        "{\"clock_ms\":" + clockMs() + (fenced ? ",\"reason\":\"fence\"}" : "}"));
  }

  private void hold(HttpExchange exchange, String body) throws IOException {
    long token = Lab.number(body, "fencing_token", 0);
    long seen = Lab.number(body, "seen_upto", 0);
    long waitNs = 1_000_000 * Lab.number(body, "wait_ms", 0);
    long untilNs = System.nanoTime() + waitNs;
    StringBuilder answer = new StringBuilder();
    int status = 200;
    synchronized (this) {
      if (token < fence) {
        status = 409;
        answer.append("{\"clock_ms\":").append(clockMs()).append(",\"reason\":\"fence\"}");
      } else {
        fence = token;
        extend(Lab.number(body, "until_ms", 0));
        ended.removeIf(end -> end.number() <= seen);
        while (ended.isEmpty() && System.nanoTime() < untilNs) {
          Lab.await(this, Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
        }
        answer
            .append("{\"clock_ms\":")
            .append(clockMs())
            .append(",\"born\":")
            .append(bornMs)
            .append(",\"running\":[");
        int count = 0;
        for (var entry : running.entrySet()) {
          answer
              .append(count++ == 0 ? "" : ",")
              .append("[\"")
              .append(entry.getKey())
              .append("\",")
              .append(entry.getValue().run)
              .append(",\"\",")
              .append(entry.getValue().percent)
              .append(",0]");
        }
        answer.append("],\"ended\":[");
        count = 0;
        for (End end : ended) {
          if (count == MAX_ENDED) {
            break;
          }
          answer
              .append(count++ == 0 ? "" : ",")
              .append("[")
              .append(end.number())
              .append(",\"")
              .append(end.task())
              .append("\",")
              .append(end.run())
              .append(",\"")
              .append(end.how())
              .append("\",\"\"]");
        }
        answer.append("]}");
      }
    }
    Lab.reply(exchange, status, answer.toString());
  }
}
