package review3;

import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Starts the project's hosts as processes, between stand-ins for the platform and for workers. */
class Lab implements AutoCloseable {

  static final String IP = "127.0.0.1";
  static final String SERVICE = "press-hub";
  static final String ZONE = "th-east-a";
  static final String QUEUE_HOST = "nony24.example";
  static final String PREFIX = "/lohu930/";

  /** {@code max_hold_ms} of the settings in DEPLOY.md. */
  static final long MAX_HOLD_MS = 6_000;

  private static final int DECISION_MS = 15;
  private static final int VALIDITY_MS = 2_000;

  /** Handles a request. */
  interface Handler {
    void handle(HttpExchange exchange) throws IOException;
  }

  /** A process of the project. */
  static final class Host {
    final String name;
    final String front;
    final Path settings;
    final Path output;
    Process process;

    Host(String name, String front, Path settings, Path output) {
      this.name = name;
      this.front = front;
      this.settings = settings;
      this.output = output;
    }
  }

  final Store store = new Store();
  private final long startNs = System.nanoTime();
  private final BufferedWriter record;
  private final Path folder;
  private final List<Host> hosts = new ArrayList<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
  private final HttpServer storeServer;
  private final HttpServer adviceServer;
  private String key = "";
  private final Object adviceLock = new Object();
  final java.util.concurrent.atomic.AtomicInteger adviceCalls =
      new java.util.concurrent.atomic.AtomicInteger();
  private long recordedLines;

  Lab(Path recordFile) throws IOException {
    record = Files.newBufferedWriter(recordFile);
    folder = Files.createTempDirectory("review-3-");
    storeServer = serve(IP, 0, store::handle);
    adviceServer = serve(IP, 0, this::advise);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Approves all workers; decides one call after the other. */
  private void advise(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    JsonObject call = json(body).getAsJsonObject();
    com.google.gson.JsonArray approved = new com.google.gson.JsonArray();
    for (com.google.gson.JsonElement worker : call.get("workers").getAsJsonArray()) {
      com.google.gson.JsonArray row = new com.google.gson.JsonArray();
      row.add(worker.getAsString());
      row.add("ticket-" + worker.getAsString());
      approved.add(row);
    }
    synchronized (adviceLock) {
      sleep(DECISION_MS);
    }
    adviceCalls.incrementAndGet();
    JsonObject reply = new JsonObject();
    reply.add("approved", approved);
    reply.addProperty("validity_ms", VALIDITY_MS);
    answer(exchange, 200, reply.toString());
  }

  /** Writes the first configuration of the operator: one queue without approvals. */
  void writeConfig(int maxAttempts) {
    writeConfig(maxAttempts, false);
  }

  /** Writes a configuration with one urgent queue for one customer, who uses {@link #key}. */
  void writeConfigWithLimit(int maxCpu) {
    key = "3f8a21c07b5de946";
    writeConfig(
        0,
        3,
        false,
        ",\"tenants\":[{\"name\":\"t-5kq2\",\"api_keys\":[\""
            + key
            + "\"],\"weight\":1.0,\"max_count\":{\"cpu\":"
            + maxCpu
            + ",\"mem_mb\":0,\"gpu\":0}}]");
  }

  /** Writes the first configuration of the operator: one urgent queue. */
  void writeConfig(int maxAttempts, boolean advice) {
    writeConfig(0, maxAttempts, advice);
  }

  /** Writes the first configuration of the operator: one queue, with or without approvals. */
  void writeConfig(int priority, int maxAttempts, boolean advice) {
    writeConfig(priority, maxAttempts, advice, "");
  }

  private void writeConfig(int priority, int maxAttempts, boolean advice, String tenants) {
    String config =
        "{\"version\":10,\"limits\":{}"
            + tenants
            + ",\"services\":[{\"name\":\"press-hub\","
            + "\"rejects_overload\":false}],\"routes\":[{\"name\":\"q1\",\"host\":\""
            + QUEUE_HOST
            + "\",\"path_prefix\":\""
            + PREFIX
            + "\",\"service\":\"press-hub\",\"timeout_ms\":3000,\"priority\":"
            + priority
            + ",\"max_attempts\":"
            + maxAttempts
            + ",\"stretch\":1.5,\"target_latency_ms\":600"
            + (advice
                ? ",\"advice\":{\"decision_ms\":"
                    + DECISION_MS
                    + ",\"per_worker_ms\":0.22,\"validity_ms\":"
                    + VALIDITY_MS
                    + "}"
                : "")
            + "}]}";
    store.put("keyed.op", 0, "config", config.getBytes(StandardCharsets.UTF_8));
  }

  static String address(HttpServer server) {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  HttpServer serve(String ip, int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (RuntimeException e) {
            log("stand-in failed: " + e);
            exchange.close();
          }
        });
    server.start();
    synchronized (servers) {
      servers.add(server);
    }
    return server;
  }

  void every(long periodMs, Runnable task) {
    timer.scheduleAtFixedRate(task, 0, periodMs, TimeUnit.MILLISECONDS);
  }

  /** Defines a host with free ports; {@link #start} starts it. */
  Host host(String name) throws IOException {
    int[] ports = new int[4];
    for (int i = 0; i < ports.length; i++) {
      try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
        ports[i] = free.getLocalPort();
      }
    }
    JsonObject settings = new JsonObject();
    settings.addProperty("node_name", name);
    settings.addProperty("role", "host");
    settings.addProperty("ip", IP);
    settings.addProperty("zone", ZONE);
    settings.addProperty("region", "th-east");
    JsonObject listen = new JsonObject();
    listen.addProperty("front", IP + ":" + ports[0]);
    listen.addProperty("readiness", IP + ":" + ports[1]);
    listen.addProperty("control", IP + ":" + ports[2]);
    settings.add("listen", listen);
    settings.add("internal_port_range", json("[" + ports[3] + "," + (ports[3] + 1) + "]"));
    settings.add("seeds", json("[\"" + IP + ":" + ports[2] + "\"]"));
    settings.addProperty("heartbeat_interval_ms", 1_500);
    settings.add(
        "limits",
        json(
            "{\"cpu_share\":0.75,\"cores\":1,\"memory_mb\":430,\"file_descriptors\":4100,"
                + "\"link_mbps\":1000.0,\"disk_mb\":0}"));
    settings.add(
        "bounds",
        json(
            "{\"contact_ms\":4000,\"ack_timeout_ms\":5000,\"drain_timeout_ms\":3000,"
                + "\"grace_period_s\":6,\"config_apply_ms\":3000,\"max_stretch_ms\":6000,"
                + "\"recovery_s\":12,\"max_hold_ms\":"
                + MAX_HOLD_MS
                + ",\"stop_timeout_ms\":200,\"gang_timeout_ms\":3000,\"cancel_ms\":3000,"
                + "\"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\"status_s\":120}"));
    settings.addProperty("orders", "call");
    settings.addProperty("advice", address(adviceServer));
    JsonObject platform = new JsonObject();
    platform.addProperty("address", address(storeServer));
    platform.addProperty("form", "log");
    platform.addProperty("parts", 16);
    platform.addProperty("record_bytes", Store.RECORD_BYTES);
    platform.addProperty("call_bytes", Store.CALL_BYTES);
    platform.addProperty("keep_s", 300);
    settings.add("platform", platform);
    Path file = folder.resolve(name + ".json");
    Files.writeString(file, settings.toString());
    Host host = new Host(name, IP + ":" + ports[0], file, folder.resolve(name + ".log"));
    hosts.add(host);
    return host;
  }

  private static com.google.gson.JsonElement json(String text) {
    return com.google.gson.JsonParser.parseString(text);
  }

  /** Starts a host's process with the command of the deploy file. */
  void start(Host host) throws IOException {
    String command = null;
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    ProcessBuilder builder = new ProcessBuilder(command.split(" "));
    Map<String, String> inherited = new HashMap<>(builder.environment());
    builder.environment().clear();
    for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
      if (inherited.containsKey(name)) {
        builder.environment().put(name, inherited.get(name));
      }
    }
    builder.environment().put("HICKORYMOOR_SETTINGS", host.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(host.output.toFile()));
    host.process = builder.start();
    log("host " + host.name + " started");
  }

  /** Ends a host's process at once. */
  void kill(Host host) throws InterruptedException {
    log("host " + host.name + " is killed");
    host.process.destroyForcibly();
    host.process.waitFor(5, TimeUnit.SECONDS);
  }

  /** Waits until a host answers readiness by answering for a job that does not exist. */
  boolean awaitServing(Host host, long withinMs) throws InterruptedException {
    long endNs = System.nanoTime() + withinMs * 1_000_000;
    while (System.nanoTime() - endNs < 0 && host.process.isAlive()) {
      Answer answer = call(host, "GET", "00000000000000ff", null, false);
      if (answer.status() == 410) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** The answer to a call; status 0 if there was none. */
  record Answer(int status, String body) {}

  Answer call(Host host, String method, String id, String body, boolean logged)
      throws InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + host.front + PREFIX + id))
            .timeout(Duration.ofMillis(3_500))
            .header("X-Deadline-Remaining", "3000");
    request.setHeader("Host", QUEUE_HOST);
    if (!key.isEmpty()) {
      request.header("X-Key", key);
    }
    if (body == null) {
      request.method(method, HttpRequest.BodyPublishers.noBody());
    } else {
      request
          .header("Content-Type", "application/json")
          .method(method, HttpRequest.BodyPublishers.ofString(body));
    }
    Answer answer;
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      answer = new Answer(response.statusCode(), response.body());
    } catch (ConnectException e) {
      answer = new Answer(0, "connection refused");
    } catch (IOException e) {
      answer = new Answer(0, e.toString());
    }
    if (logged) {
      log(method + " " + id + " at " + host.name + " -> " + answer);
    }
    return answer;
  }

  /** Called when a worker has begun a run. */
  void onRunStarted(Worker worker, Worker.Run run) {
    log("start " + run.task + " run " + run.run + " on " + worker.id + " from '" + run.checkpoint + "'");
  }

  /** Called when a run has ended. */
  void onRunEnded(Worker worker, Worker.Run run, String how) {
    log("end " + run.task + " run " + run.run + " on " + worker.id + ": " + how);
  }

  /** Called when a run has gone with its worker. */
  void onRunGone(Worker worker, Worker.Run run) {
    log("gone " + run.task + " run " + run.run + " with " + worker.id);
  }

  /** Lets time pass for a run; called with the lock of its worker. */
  void advance(Worker worker, Worker.Run run) {
    if (System.nanoTime() - run.startedNs > specMs(run.spec) * 1_000_000) {
      worker.end(run, "done");
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops a host's process by SIGTERM and starts it again. */
  void roll(Host host, long graceMs, long delayMs) throws IOException, InterruptedException {
    log("host " + host.name + " gets SIGTERM");
    host.process.destroy();
    if (!host.process.waitFor(graceMs, TimeUnit.MILLISECONDS)) {
      log("host " + host.name + " gets SIGKILL");
      host.process.destroyForcibly();
      host.process.waitFor();
    }
    log("host " + host.name + " has ended");
    sleep(delayMs);
    start(host);
  }

  static long specMs(String spec) {
    return Long.parseLong(spec.replaceAll(".*ms=(\\d+).*", "$1"));
  }

  long elapsedMs() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  /** Writes a line to the record of the case. */
  void log(String line) {
    synchronized (record) {
      try {
        record.write(String.format("%8.3f %s%n", elapsedMs() / 1e3, line));
        if (++recordedLines % 50 == 0 || !line.startsWith("start ")) {
          record.flush();
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** Copies the last lines of a host's output that contain a text to the record. */
  void logOutput(Host host, String text, int most) throws IOException {
    List<String> lines =
        Files.exists(host.output)
            ? Files.readAllLines(host.output).stream().filter(line -> line.contains(text)).toList()
            : List.of();
    for (String line : lines.subList(Math.max(0, lines.size() - most), lines.size())) {
      log("  " + host.name + " wrote: " + line);
    }
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> result = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        result.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return result;
  }

  static void answer(HttpExchange exchange, int status, String body) throws IOException {
    answer(exchange, status, body.getBytes(StandardCharsets.UTF_8));
  }

  static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  @Override
  public void close() {
    for (Host host : hosts) {
      if (host.process != null) {
        host.process.destroyForcibly();
      }
    }
    timer.shutdownNow();
    synchronized (servers) {
      servers.forEach(server -> server.stop(0));
      servers.clear();
    }
    for (Host host : hosts) {
      try {
        Files.deleteIfExists(host.settings);
        Files.deleteIfExists(host.output);
      } catch (IOException e) {
        // The folder is a temporary one.
      }
    }
    try {
      Files.deleteIfExists(folder);
      synchronized (record) {
        record.flush();
      }
    } catch (IOException e) {
      // As above.
    }
  }

  /** Ends this process: 0 if the rule held, 3 if it was broken, 2 if the case couldn't run. */
  static void exit(int result) {
    System.exit(result == 1 ? 3 : result);
  }

  /** Returns whether the disruption of the case is left out. */
  static boolean isCalm() {
    return "0".equals(System.getenv("TROUBLE"));
  }
}
