import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: hosts as processes of their own, calls of clients, small helpers. */
final class Lab implements AutoCloseable {
  static final String VIRTUAL_HOST = "jobs.example";

  /**
   * An answer to a client.
   *
   * @param status the status; 0 if there was no complete answer
   */
  record Answer(int status, String body) {}

  final Recorder recorder;
  final Path directory;
  private final Path root;
  private final List<Host> hosts = new ArrayList<>();
  private String adviceAddress = "";

  Lab(Path root, Path folder) throws IOException {
    this.root = root;
    recorder = new Recorder(folder.resolve("record.txt"));
    directory = Files.createTempDirectory("review-");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /** A case; returns the exit code. */
  interface Case {
    int run(Lab lab, boolean trouble) throws Exception;
  }

  /** Plays a case and exits: with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
  static void play(String[] args, Case played) {
    int exit = 2;
    try (Lab lab = new Lab(Path.of(args[0]), Path.of(args[1]))) {
      try {
        exit = played.run(lab, !args[2].equals("0"));
      } catch (Throwable e) {
        lab.recorder.note("could not run: " + e);
      }
      lab.recorder.note("exit " + exit);
    } catch (Throwable e) {
      System.err.println("could not run: " + e);
      exit = 2;
    }
    System.exit(exit);
  }

  /** A process of the deploy file. */
  final class Host {
    final String name;
    final String front;
    final String readiness;

    /** Where other hosts connect to it. */
    final String peer;

    private final Path settings;
    private Process process;

    Host(String name, int number, String storeAddress, int maxHoldMs) throws IOException {
      this.name = name;
      String ip = "127.0.0." + (10 + number);
      int[] ports = freePorts(ip, 4);
      front = ip + ":" + ports[0];
      readiness = ip + ":" + ports[1];
      peer = ip + ":" + ports[3];
      settings = directory.resolve(name + ".json");
      Files.writeString(
          settings,
          """
          {"node_name": "%s", "role": "host", "machine_class": "front",
           "serves": ["front", "control"], "ip": "%s", "zone": "z1", "region": "r1",
           "zones": {"z1": "r1"},
           "listen": {"front": "%s", "readiness": "%s", "control": "%s:%d"},
           "internal_port_range": [%d, %d], "seeds": [], "bootstrap": true,
           "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": 430, "file_descriptors": 4100},
           "data_directory": null, "discovery": "platform", "entry": "virtual_ip",
           "heartbeat_interval_ms": 1500,
           "bounds": {"contact_ms": 4000, "ack_timeout_ms": 5000, "drain_timeout_ms": 3000,
             "grace_period_s": 6, "config_apply_ms": 3000, "max_hold_ms": %d,
             "stop_timeout_ms": 200, "gang_timeout_ms": 3000, "cancel_ms": 3000,
             "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
             "require_fencing": false, "lease_ms": 3000},
           "orders": "call", "advice": "%s",
           "platform": {"address": "%s", "form": "log", "writes_per_s": 800,
             "reads_per_s": 2000, "parts": 16, "append_ms": 3.0, "record_bytes": 262144,
             "call_bytes": 2097152, "keep_s": 300, "partition_mb": 200, "min_ttl_ms": 1000}}
          """
              .formatted(
                  name, ip, front, readiness, ip, ports[2], ports[3], ports[3], maxHoldMs,
                  adviceAddress, storeAddress));
      hosts.add(this);
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(runCommand());
      builder.directory(root.toFile());
      builder.environment().put("HICKORYMOOR_SETTINGS", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
      process = builder.start();
      recorder.note("host " + name + " started");
    }

    void signal(String signal) throws IOException, InterruptedException {
      recorder.note("host " + name + ": SIG" + signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }

    void awaitReady() throws InterruptedException {
      for (int i = 0; i < 200; i++) {
        if (call(readiness, "GET", "/api/readiness", null, 500).status() == 200) {
          return;
        }
        Thread.sleep(100);
      }
      throw new IllegalStateException("host " + name + " did not become ready");
    }
  }

  /** Sets the address of the advice service for hosts that are made later. */
  void setAdvice(String address) {
    adviceAddress = address;
  }

  Host host(String name, int number, String storeAddress, int maxHoldMs) throws IOException {
    return new Host(name, number, storeAddress, maxHoldMs);
  }

  private List<String> runCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"([^\"]*)\"")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run command");
    }
    return List.of(run.group(1).split(" "));
  }

  /** Ends all processes that were started. */
  void endProcesses() {
    for (Host host : hosts) {
      if (host.process != null) {
        host.process.destroyForcibly();
      }
    }
    for (Host host : hosts) {
      try {
        if (host.process != null) {
          host.process.waitFor();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Notes the lines of the hosts' logs that match a pattern, for the reader of the record. */
  void noteLogs(String pattern, int most) throws IOException {
    Pattern wanted = Pattern.compile(pattern);
    for (Host host : hosts) {
      int left = most;
      for (String line : Files.readAllLines(directory.resolve(host.name + ".log"))) {
        if (left > 0 && wanted.matcher(line).find()) {
          recorder.note("log of " + host.name + ": " + line);
          left--;
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    recorder.close();
    try (var files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(directory);
  }

  private static int[] freePorts(String ip, int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket();
      socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
      sockets.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /** The configuration, with one route to the service for each name. */
  static String config(long version, String... routes) {
    StringBuilder rows = new StringBuilder();
    for (String route : routes) {
      rows.append(rows.length() == 0 ? "" : ",")
          .append(
              "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"/%s/\",\"kind\":\"unsafe\","
                      .formatted(route, VIRTUAL_HOST, route)
                  + "\"timeout_ms\":3000,\"target_latency_ms\":1200,\"priority\":1,"
                  + "\"service\":\"svc\",\"max_attempts\":3,\"stretch\":2.0"
                  + (route.startsWith("advised")
                      ? ",\"advice\":{\"decision_ms\":34.0,\"per_worker_ms\":0.34,"
                          + "\"validity_ms\":2500}"
                      : "")
                  + "}");
    }
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + rows
        + "],\"services\":[{\"name\":\"svc\",\"health_path\":\"/health\",\"max_connections\":64,"
        + "\"protocol\":\"h1\",\"tls\":false,\"rejects_overload\":false,\"spare\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  /** Sends a request of a client on a connection of its own. */
  static Answer call(String address, String method, String path, String body, int timeoutMs) {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          timeoutMs);
      socket.setSoTimeout(timeoutMs);
      byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: "
              + VIRTUAL_HOST
              + "\r\nX-Deadline-Remaining: "
              + timeoutMs
              + "\r\nConnection: close\r\n"
              + (body == null ? "" : "Content-Type: application/json\r\n")
              + "Content-Length: "
              + content.length
              + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(content);
      socket.getOutputStream().flush();
      ByteArrayOutputStream read = new ByteArrayOutputStream();
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[8192];
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        read.write(buffer, 0, n);
      }
      String text = read.toString(StandardCharsets.UTF_8);
      int end = text.indexOf("\r\n\r\n");
      if (!text.startsWith("HTTP/1.1 ") || end < 0) {
        return new Answer(0, "");
      }
      return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4));
    } catch (IOException e) {
      return new Answer(0, e.toString());
    }
  }

  static void reply(HttpExchange exchange, int status, String body) throws IOException {
    reply(exchange, status, body.getBytes(StandardCharsets.UTF_8));
  }

  static void reply(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  static String text(String json, String field) {
    Matcher m = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(json);
    return m.find() ? m.group(1) : "";
  }

  static long number(String json, String field, long otherwise) {
    Matcher m = Pattern.compile("\"" + field + "\":(-?[0-9]+)").matcher(json);
    return m.find() ? Long.parseLong(m.group(1)) : otherwise;
  }

  /** Returns the time that a task of a job works; negative if it lasts. */
  static long specMs(String spec) {
    Matcher m = Pattern.compile("ms=(-?[0-9]+)").matcher(spec);
    return m.find() ? Long.parseLong(m.group(1)) : 100;
  }

  /** Returns after how long a task of a job crashes its worker; negative if it doesn't. */
  static long specCrashMs(String spec) {
    Matcher m = Pattern.compile("crash=([0-9]+)").matcher(spec);
    return m.find() ? Long.parseLong(m.group(1)) : -1;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void await(Object monitor, long ms) {
    try {
      monitor.wait(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }
}
