package review;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A small deployment on loopback addresses: hosts, store, workers and clients. */
final class Rig implements AutoCloseable {

  static final String SERVICE = "sockplan";
  static final String QUEUE_HOST = "queue.example";
  static final String PREFIX = "/jobs/";

  private static final int PORTS_PER_HOST = 24;
  private static final int MAX_HOSTS = 4;
  private static final int FIRST_IP = 11;
  private static final long START_LIMIT_MS = 20_000;
  private static final Duration CALL_LIMIT = Duration.ofSeconds(4);

  final Record record;
  final Store store;
  final List<Host> hosts = new ArrayList<>();

  /** A proxy between each host and the store, if the case asks for them. */
  final List<Proxy> storeProxies = new ArrayList<>();

  final List<Worker> workers = new ArrayList<>();
  final Random random = new Random(1);
  private final Path folder;
  private final int firstPort;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .executor(Http.THREADS)
          .build();

  Rig(Path recordFile, Path folder) throws IOException {
    this.record = new Record(recordFile);
    this.folder = folder;
    this.firstPort = freePorts();
    this.store = new Store(record);
    store.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private static String ip(int host) {
    return "127.0.0." + (FIRST_IP + host);
  }

  /** Returns the first port of a range that is free at the addresses of all hosts. */
  private static int freePorts() throws IOException {
    for (int attempt = 0; attempt < 50; attempt++) {
      int first = 20_000 + new Random().nextInt(9_000);
      try {
        for (int host = 0; host < MAX_HOSTS; host++) {
          for (int i = 0; i < PORTS_PER_HOST; i++) {
            new ServerSocket(first + i, 1, InetAddress.getByName(ip(host))).close();
          }
        }
        return first;
      } catch (IOException e) {
        // Taken: the next attempt.
      }
    }
    throw new IOException("no free ports");
  }

  /** Writes a configuration with one queue. */
  void configure(int version, int maxAttempts, int priority) {
    configure(version, maxAttempts, priority, PREFIX);
  }

  /** Writes a configuration with a queue for each path prefix. */
  void configure(int version, int maxAttempts, int priority, String... prefixes) {
    JsonArray routes = new JsonArray();
    for (String prefix : prefixes) {
      JsonObject route = new JsonObject();
      route.addProperty("name", "r" + prefix.replace('/', '-'));
      route.addProperty("host", QUEUE_HOST);
      route.addProperty("path_prefix", prefix);
      route.addProperty("kind", "unsafe");
      route.addProperty("timeout_ms", 3_000);
      route.addProperty("target_latency_ms", 600);
      route.addProperty("priority", priority);
      route.addProperty("service", SERVICE);
      route.addProperty("max_attempts", maxAttempts);
      route.addProperty("stretch", 1.5);
      routes.add(route);
    }
    store.put(
        "keyed.op",
        "config",
        """
        {"version":%d,"routes":%s,
        "services":[{"name":"%s","health_path":"/health","max_connections":64,"protocol":"h1",
        "tls":false,"rejects_overload":false,"spare":false}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}
        """
            .formatted(version, routes, SERVICE));
  }

  void startHosts(int count) throws IOException, InterruptedException {
    startHosts(count, false);
  }

  void startHosts(int count, boolean proxied) throws IOException, InterruptedException {
    for (int i = 0; i < count; i++) {
      int storePort = store.port();
      if (proxied) {
        Proxy proxy = new Proxy();
        proxy.open(storePort);
        storeProxies.add(proxy);
        storePort = proxy.port();
      }
      Host host =
          new Host(
              record, folder, "front-" + (i + 1), ip(i), firstPort, storePort);
      hosts.add(host);
      host.start();
    }
    long deadlineMs = record.nowMs() + START_LIMIT_MS;
    for (Host host : hosts) {
      while (!isReady(host)) {
        if (record.nowMs() > deadlineMs || !host.isAlive()) {
          throw new IOException(host.name() + " does not become ready");
        }
        Thread.sleep(100);
      }
    }
    record.log("%d hosts are ready", count);
  }

  private boolean isReady(Host host) throws InterruptedException {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create(host.readiness())).timeout(CALL_LIMIT).build();
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  String newId() {
    return String.format("%016x", random.nextLong());
  }

  /** An answer to a client; status 0 if there was none. */
  record Answer(int status, String body) {

    String state() {
      JsonObject object = JsonParser.parseString(body).getAsJsonObject();
      return status == 200 && object.has("state") ? object.get("state").getAsString() : "";
    }
  }

  Answer call(Host host, String method, String id, String body) throws InterruptedException {
    return callPath(host, method, PREFIX + id, body);
  }

  Answer callPath(Host host, String method, String path, String body)
      throws InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(host.api() + path))
            .timeout(CALL_LIMIT)
            .header("Content-Type", "application/json")
            .header("X-Deadline-Remaining", "3000")
            .header("Host", QUEUE_HOST)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e.getMessage()));
    }
  }

  /** Submits a job as a client does: again under the same id, at another host, until answered. */
  boolean submit(String id, String body) throws InterruptedException {
    for (int attempt = 0; attempt < 4; attempt++) {
      Host host = hosts.get(random.nextInt(hosts.size()));
      Answer answer = call(host, "POST", id, body);
      record.log("POST %s at %s is answered %d", id, host.name(), answer.status());
      if (answer.status() == 200) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  String state(String id) throws InterruptedException {
    for (int attempt = 0; attempt < 4; attempt++) {
      Answer answer = call(hosts.get(attempt % hosts.size()), "GET", id, "");
      if (answer.status() == 200) {
        return answer.state();
      }
      if (answer.status() == 410) {
        return "410";
      }
      Thread.sleep(200);
    }
    return "";
  }

  /** Ends all processes. */
  @Override
  public void close() {
    for (Host host : hosts) {
      try {
        if (host.isAlive()) {
          host.kill();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Returns whether the case plays its disruption. */
  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static void sleepUntil(Record record, long ms) throws InterruptedException {
    Thread.sleep(Math.max(0, ms - record.nowMs()));
  }
}
