package review;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker that runs tasks under a lease. Its announced address is that of a proxy in front of it,
 * so that connections to it can be cut while it runs on.
 */
final class Worker {

  static final long BEAT_MS = 1_500;
  static final int SILENT_BEATS = 3;

  private static final long MAX_HOLD_MS = 6_000;
  private static final long MAX_WAIT_MS = 2_000;
  private static final long STOP_MS = 50;
  private static final int ENDS_PER_ANSWER = 500;
  private static final long TICK_MS = 5;

  /** Decides how long a task works; negative for ever. */
  interface WorkTime {
    long ofMs(String task);
  }

  private static final class Task {
    final Record.Run run;
    final long endsMs; // On the worker's clock; negative for never.
    long stopsMs = -1;

    Task(Record.Run run, long endsMs) {
      this.run = run;
      this.endsMs = endsMs;
    }
  }

  private record End(long number, String task, int run, String how) {}

  private final Record record;
  private final Store store;
  private final WorkTime workTime;
  private final String zone;
  private final String rack;
  private final int cpu;
  private final int memoryMb;
  private final Proxy proxy;

  private String id;
  private HttpServer server;
  private boolean up;
  private boolean draining;
  private boolean reachesStore = true;
  private boolean listed;
  private long lastBeatMs = Long.MIN_VALUE / 2;
  private String lastEntry = "";
  private long sequence;
  private long bornMs;
  private long bootNs;
  private long fence;
  private long leaseMs;
  private long lastNumber;
  private final Map<String, Task> running = new HashMap<>();
  private final Map<String, Integer> closedRuns = new HashMap<>();
  private final List<End> ended = new ArrayList<>();

  Worker(
      Record record, Store store, String id, String zone, String rack, int cpu, int memoryMb,
      WorkTime workTime) throws IOException {
    this.record = record;
    this.store = store;
    this.id = id;
    this.zone = zone;
    this.rack = rack;
    this.cpu = cpu;
    this.memoryMb = memoryMb;
    this.workTime = workTime;
    this.proxy = new Proxy();
    boot();
    Http.THREADS.execute(this::tick);
  }

  synchronized String id() {
    return id;
  }

  Proxy proxy() {
    return proxy;
  }

  synchronized boolean isUp() {
    return up;
  }

  synchronized int runs() {
    return running.size();
  }

  private synchronized void boot() throws IOException {
    bornMs = System.currentTimeMillis();
    bootNs = System.nanoTime();
    fence = 0;
    leaseMs = 0;
    lastNumber = 0;
    sequence = 0;
    running.clear();
    closedRuns.clear();
    ended.clear();
    draining = false;
    up = true;
    server = Http.listen(0, this::handle);
    beat();
    proxy.open(server.getAddress().getPort());
  }

  /** Ends the process at once: its connections close, and nothing listens any more. */
  synchronized void crash() {
    record.log("%s crashes, %d tasks run there", id, running.size());
    up = false;
    running.values().forEach(task -> record.ended(task.run, "lost with its worker"));
    running.clear();
    proxy.refuse();
    server.stop(0);
    notifyAll();
  }

  /** Starts the process again under the id that it had. */
  synchronized void restart() throws IOException {
    boot();
    record.log("%s has started again, born %d", id, bornMs);
  }

  /** Reports that the worker drains. */
  synchronized void drain() {
    draining = true;
    record.log("%s reports draining, %d tasks run there", id, running.size());
    beat();
  }

  /** The worker can no longer reach the store, or reaches it again. */
  synchronized void reachStore(boolean reaches) {
    reachesStore = reaches;
  }

  private long clockMs() {
    return (System.nanoTime() - bootNs) / 1_000_000;
  }

  private synchronized void beat() {
    if (!up || !reachesStore) {
      return;
    }
    lastBeatMs = record.nowMs();
    JsonObject entry = new JsonObject();
    entry.addProperty("service", Rig.SERVICE);
    entry.addProperty("address", Http.LOOPBACK + ":" + proxy.port());
    entry.addProperty("zone", zone);
    entry.addProperty("version", "v1");
    entry.addProperty("slots", 8);
    entry.addProperty("state", draining ? "draining" : "ready");
    if (draining) {
      entry.addProperty("remaining_ms", 3_000);
    }
    entry.addProperty("cold_remaining_ms", 0);
    JsonObject capacity = new JsonObject();
    capacity.addProperty("cpu", cpu);
    capacity.addProperty("mem_mb", memoryMb);
    capacity.addProperty("gpu", 0);
    entry.add("capacity", capacity);
    JsonArray labels = new JsonArray();
    labels.add("a");
    labels.add(rack);
    entry.add("labels", labels);
    entry.addProperty("born", bornMs);
    String content = entry.toString();
    entry.addProperty("sequence", ++sequence);
    if (!listed || !content.equals(lastEntry)) {
      store.put("keyed.servers", id, entry.toString());
      listed = true;
      lastEntry = content;
    }
  }

  /** Advances the worker, and removes its entry after three silent intervals as the store does. */
  private void tick() {
    while (true) {
      synchronized (this) {
        if (up && record.nowMs() - lastBeatMs >= BEAT_MS) {
          beat();
        }
        if (listed && record.nowMs() - lastBeatMs >= SILENT_BEATS * BEAT_MS) {
          store.put("keyed.servers", id, null);
          listed = false;
          record.log("store: the entry of %s is removed after three silent intervals", id);
        }
        if (up) {
          advance();
        }
      }
      try {
        Thread.sleep(TICK_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void advance() {
    long now = clockMs();
    boolean lapsed = !running.isEmpty() && now >= leaseMs;
    for (Task task : List.copyOf(running.values())) {
      if (task.endsMs >= 0 && now >= task.endsMs) {
        end(task, "done");
      } else if (task.stopsMs >= 0 && now >= task.stopsMs) {
        end(task, "stopped");
      } else if (lapsed) {
        end(task, "lapsed");
      }
    }
  }

  private void end(Task task, String how) {
    running.remove(task.run.task);
    closedRuns.merge(task.run.task, task.run.run, Math::max);
    ended.add(new End(++lastNumber, task.run.task, task.run.run, how));
    record.ended(task.run, how);
    notifyAll();
  }

  private void handle(HttpExchange call) throws IOException, InterruptedException {
    JsonObject body = Http.body(call);
    JsonObject answer = new JsonObject();
    int status;
    synchronized (this) {
      if (!up) {
        return;
      }
      if (!id.equals(call.getRequestHeaders().getFirst("X-Expected-Instance"))) {
        status = 421;
      } else if (body.get("fencing_token").getAsLong() < fence) {
        answer.addProperty("reason", "fence");
        status = 409;
      } else {
        fence = body.get("fencing_token").getAsLong();
        advance();
        status =
            switch (call.getRequestURI().getPath()) {
              case "/api/run-start" -> start(body, answer);
              case "/api/run-stop" -> stop(body);
              case "/api/hold" -> hold(body, answer);
              case "/api/pace" -> 200;
              default -> 404;
            };
      }
      if (!up) {
        return;
      }
      answer.addProperty("clock_ms", clockMs());
      answer.addProperty("born", bornMs);
    }
    Http.answer(call, status, answer);
  }

  private void extendLease(JsonObject body) {
    if (body.has("until_ms")) {
      leaseMs =
          Math.max(leaseMs, Math.min(body.get("until_ms").getAsLong(), clockMs() + MAX_HOLD_MS));
    }
  }

  private int start(JsonObject body, JsonObject answer) {
    String name = body.get("task").getAsString();
    int run = body.get("run").getAsInt();
    if (body.get("until_ms").getAsLong() <= clockMs()) {
      answer.addProperty("reason", "late");
      return 409;
    }
    extendLease(body);
    Task present = running.get(name);
    if (present != null && present.run.run == run) {
      return 200;
    }
    if (present != null || run <= closedRuns.getOrDefault(name, 0)) {
      answer.addProperty("reason", "old");
      return 409;
    }
    long workMs = workTime.ofMs(name);
    running.put(
        name, new Task(record.started(name, run, id), workMs < 0 ? -1 : clockMs() + workMs));
    return 200;
  }

  private int stop(JsonObject body) {
    String name = body.get("task").getAsString();
    int run = body.get("run").getAsInt();
    Task present = running.get(name);
    if (present != null && present.run.run <= run) {
      present.stopsMs = clockMs() + STOP_MS;
    } else {
      closedRuns.merge(name, run, Math::max);
    }
    return 200;
  }

  private int hold(JsonObject body, JsonObject answer) throws InterruptedException {
    extendLease(body);
    long seen = body.get("seen_upto").getAsLong();
    ended.removeIf(end -> end.number() <= seen);
    long waitMs = body.has("wait_ms") ? Math.min(MAX_WAIT_MS, body.get("wait_ms").getAsLong()) : 0;
    long deadlineNs = System.nanoTime() + waitMs * 1_000_000;
    for (long leftMs = waitMs;
        leftMs > 0 && ended.isEmpty() && up;
        leftMs = (deadlineNs - System.nanoTime()) / 1_000_000) {
      wait(leftMs);
    }
    JsonArray runningRows = new JsonArray();
    for (Task task : running.values()) {
      JsonArray row = new JsonArray();
      row.add(task.run.task);
      row.add(task.run.run);
      row.add("");
      row.add(100);
      row.add(0);
      runningRows.add(row);
    }
    JsonArray endedRows = new JsonArray();
    for (End end : ended.subList(0, Math.min(ENDS_PER_ANSWER, ended.size()))) {
      JsonArray row = new JsonArray();
      row.add(end.number());
      row.add(end.task());
      row.add(end.run());
      row.add(end.how());
      row.add("");
      endedRows.add(row);
    }
    answer.add("running", runningRows);
    answer.add("ended", endedRows);
    return 200;
  }
}
