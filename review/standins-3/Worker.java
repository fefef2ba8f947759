package review3;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for one worker. The spec of a job says how long its tasks run, as {@code ms=N}. */
final class Worker {

  /** A task that runs here. */
  static final class Run {
    final String task;
    final int run;
    final String spec;
    final String checkpoint;
    final long startedNs = System.nanoTime();
    String saved;

    Run(String task, int run, String spec, String checkpoint) {
      this.task = task;
      this.run = run;
      this.spec = spec;
      this.checkpoint = checkpoint;
      this.saved = checkpoint;
    }
  }

  private record End(long number, String task, int run, String how, String saved) {}

  private final Lab lab;
  final String id;
  private final String kind;
  private final String rack;
  private final int cpu;
  private final HttpServer server;
  private final long bornMs = System.currentTimeMillis();
  private final long bornNs = System.nanoTime();
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private final List<End> ended = new ArrayList<>();
  private long nextEnd = 1;
  private long fence;
  private long leaseUntilMs;
  private long sequence;
  private volatile boolean dead;

  Worker(Lab lab, String id, String rack, int cpu) throws IOException {
    this(lab, id, "a", rack, cpu);
  }

  Worker(Lab lab, String id, String kind, String rack, int cpu) throws IOException {
    this.lab = lab;
    this.id = id;
    this.kind = kind;
    this.rack = rack;
    this.cpu = cpu;
    this.server = lab.serve(Lab.IP, 0, this::handle);
    lab.every(1_000, this::beat);
    lab.every(20, this::advance);
  }

  private long clockMs() {
    return (System.nanoTime() - bornNs) / 1_000_000 + 1;
  }

  private synchronized void beat() {
    if (dead) {
      return;
    }
    JsonObject entry = new JsonObject();
    entry.addProperty("service", Lab.SERVICE);
    entry.addProperty("address", Lab.address(server));
    entry.addProperty("zone", Lab.ZONE);
    entry.addProperty("version", "1");
    entry.addProperty("slots", 8);
    entry.addProperty("state", "ready");
    entry.addProperty("cold_remaining_ms", 0);
    entry.addProperty("sequence", ++sequence);
    entry.addProperty("born", bornMs);
    JsonObject capacity = new JsonObject();
    capacity.addProperty("cpu", cpu);
    capacity.addProperty("mem_mb", 65_536);
    capacity.addProperty("gpu", 0);
    entry.add("capacity", capacity);
    JsonArray labels = new JsonArray();
    labels.add(kind);
    labels.add(rack);
    entry.add("labels", labels);
    lab.store.put("keyed.servers", 0, id, entry.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Ends the worker's process: all that runs there ends, and it answers nothing any more. */
  void crash() {
    List<Run> lost;
    synchronized (this) {
      dead = true;
      lost = new ArrayList<>(running.values());
      running.clear();
      notifyAll();
    }
    server.stop(0);
    lab.log("worker " + id + " crashes with " + lost.size() + " runs");
    lost.forEach(run -> lab.onRunGone(this, run));
  }

  /** Removes the entry of a worker that has crashed, as the platform does when it has expired. */
  void expire() {
    lab.store.put("keyed.servers", 0, id, new byte[0]);
  }

  synchronized int runs() {
    return running.size();
  }

  private void advance() {
    synchronized (this) {
      if (dead) {
        return;
      }
      if (!running.isEmpty() && clockMs() > leaseUntilMs) {
        new ArrayList<>(running.values()).forEach(run -> end(run, "lapsed"));
      }
      for (Run run : new ArrayList<>(running.values())) {
        lab.advance(this, run);
      }
    }
  }

  /** Ends a run; called with the lock of this worker. */
  void end(Run run, String how) {
    if (running.remove(run.task, run)) {
      ended.add(new End(nextEnd++, run.task, run.run, how, run.saved));
      highestEnded.merge(run.task, run.run, Math::max);
      lab.onRunEnded(this, run, how);
      notifyAll();
    }
  }

  /** Ends a run of another member of the gang. */
  synchronized void endIfRunning(String task, int number, String how) {
    Run run = running.get(task);
    if (run != null && run.run == number) {
      end(run, how);
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    JsonObject body =
        JsonParser.parseString(
                new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8))
            .getAsJsonObject();
    if (dead) {
      exchange.close();
      return;
    }
    if (!id.equals(exchange.getRequestHeaders().getFirst("X-Expected-Instance"))) {
      Lab.answer(exchange, 421, "{}");
      return;
    }
    JsonObject reply = new JsonObject();
    int status = 200;
    synchronized (this) {
      long token = body.has("fencing_token") ? body.get("fencing_token").getAsLong() : 0;
      if (token < fence) {
        reply.addProperty("reason", "fence");
        status = 409;
      } else {
        fence = token;
        String path = exchange.getRequestURI().getPath();
        String reason =
            switch (path) {
              case "/api/run-start" -> start(body);
              case "/api/run-stop" -> stop(body);
              case "/api/hold" -> hold(body, reply);
              default -> "";
            };
        if (!reason.isEmpty()) {
          status = 409;
          reply.addProperty("reason", reason);
        }
      }
      reply.addProperty("clock_ms", clockMs());
    }
    if (dead) {
      exchange.close();
      return;
    }
    Lab.answer(exchange, status, reply.toString());
  }

  private void extendLease(JsonObject body) {
    if (body.has("until_ms")) {
      long untilMs = Math.min(body.get("until_ms").getAsLong(), clockMs() + Lab.MAX_HOLD_MS);
      leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    }
  }

  private String start(JsonObject body) {
    String task = body.get("task").getAsString();
    int number = body.get("run").getAsInt();
    Run present = running.get(task);
    if (present != null && present.run == number) {
      extendLease(body);
      return "";
    }
    extendLease(body);
    if (present != null || number <= highestEnded.getOrDefault(task, 0)) {
      return "old";
    }
    if (body.get("until_ms").getAsLong() <= clockMs()) {
      return "late";
    }
    String checkpoint = body.has("checkpoint") ? body.get("checkpoint").getAsString() : "";
    Run run = new Run(task, number, body.get("spec").getAsString(), checkpoint);
    running.put(task, run);
    lab.onRunStarted(this, run);
    return "";
  }

  private String stop(JsonObject body) {
    String task = body.get("task").getAsString();
    int number = body.get("run").getAsInt();
    highestEnded.merge(task, number, Math::max);
    Run run = running.get(task);
    if (run != null && run.run <= number) {
      end(run, "stopped");
    }
    return "";
  }

  private String hold(JsonObject body, JsonObject reply) {
    extendLease(body);
    long seen = body.get("seen_upto").getAsLong();
    ended.removeIf(end -> end.number() <= seen);
    long waitMs = body.has("wait_ms") ? body.get("wait_ms").getAsLong() : 0;
    long untilNs = System.nanoTime() + waitMs * 1_000_000;
    while (ended.isEmpty() && !dead && untilNs - System.nanoTime() > 0) {
      try {
        wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    JsonArray runs = new JsonArray();
    for (Run run : running.values()) {
      JsonArray row = new JsonArray();
      row.add(run.task);
      row.add(run.run);
      row.add(run.saved);
      row.add(100);
      row.add(0);
      runs.add(row);
    }
    JsonArray ends = new JsonArray();
    for (End end : ended.subList(0, Math.min(500, ended.size()))) {
      JsonArray row = new JsonArray();
      row.add(end.number());
      row.add(end.task());
      row.add(end.run());
      row.add(end.how());
      row.add(end.saved());
      ends.add(row);
    }
    reply.add("running", runs);
    reply.add("ended", ends);
    reply.addProperty("born", bornMs);
    return "";
  }
}
