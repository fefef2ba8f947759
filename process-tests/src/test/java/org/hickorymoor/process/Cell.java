package org.hickorymoor.process;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.hickorymoor.daemon.HickorymoordMain;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;
import org.hickorymoor.standins.StandInsMain;
import org.hickorymoor.standins.proxy.FaultProxy;
import org.hickorymoor.standins.proxy.ProxySettings;

/** A cell of real processes: log, host list, workers and daemons, each a process of its own. */
final class Cell implements AutoCloseable {

  /** Options for daemons whose leases are short, so that failovers take seconds. */
  static final String[] SHORT_LEASES = {
    "--hold-lease-ms", "2000",
    "--hold-margin-ms", "200",
    "--sync-wait-ms", "300",
    "--call-timeout-ms", "500",
    "--task-lease-ms", "6000"
  };

  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final String REGION = "north";
  private static final int READY_ADDRESS = 2;
  private static final int READY_PEER_ADDRESS = 4;
  private static final long PROXY_SEED = 1;

  private final Path directory;
  private final Gson gson = new Gson();
  private final Http http = new Http();
  private final List<JavaProcess> processes = new ArrayList<>();
  private final Map<String, JavaProcess> daemons = new LinkedHashMap<>();
  private final Map<String, String> httpAddresses = new LinkedHashMap<>();
  private final Map<String, String> workerAddresses = new LinkedHashMap<>();
  private final String logAddress;
  private final String hostsAddress;
  private final List<FaultProxy> proxies = new ArrayList<>();
  private final List<JsonObject> recordsOfDead = new ArrayList<>();
  private final Map<String, String> peerAddresses = new LinkedHashMap<>();
  private final Map<String, String> workerDomains = new LinkedHashMap<>();
  private String daemonLogAddress;
  private String daemonHostsAddress;

  Cell(Path directory) {
    this.directory = directory;
    JavaProcess log = platform("log", List.of());
    JavaProcess hosts = platform("hosts", List.of());
    logAddress = log.awaitReady().get(READY_ADDRESS);
    hostsAddress = hosts.awaitReady().get(READY_ADDRESS);
    daemonLogAddress = logAddress;
    daemonHostsAddress = hostsAddress;
  }

  private JavaProcess platform(String kind, List<String> options) {
    List<String> args = new ArrayList<>(List.of(kind));
    args.addAll(options);
    JavaProcess process =
        JavaProcess.start(StandInsMain.class, directory.resolve(kind + ".err"), args);
    processes.add(process);
    return process;
  }

  String logAddress() {
    return logAddress;
  }

  /** Has daemons that start from now on reach the log at another address, such as a proxy's. */
  void reachLogAt(String address) {
    daemonLogAddress = address;
  }

  /** Has daemons that start from now on read another host list. */
  void readHostsAt(String address) {
    daemonHostsAddress = address;
  }

  String hostsAddress() {
    return hostsAddress;
  }

  /** Starts a further host list, for daemons that are to reach others at other addresses. */
  String startHostList() {
    return platform("hosts", List.of()).awaitReady().get(READY_ADDRESS);
  }

  /** Starts a proxy to an address. */
  FaultProxy startProxy(String targetAddress) {
    FaultProxy proxy = new FaultProxy(ProxySettings.to(targetAddress, PROXY_SEED));
    try {
      proxy.start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    proxies.add(proxy);
    return proxy;
  }

  /** Starts a worker in a process of its own and lists it at the address of a proxy to it. */
  ProxiedWorker startProxiedWorker(String id, String domain, String... options) {
    List<String> args = new ArrayList<>(List.of("--domain", domain, "--id", id));
    args.addAll(List.of("--rack", domain + "-rack"));
    args.addAll(List.of(options));
    JavaProcess process = platform("worker", args);
    String address = process.awaitReady().get(READY_ADDRESS);
    FaultProxy proxy = startProxy(address);
    workerAddresses.put(id, address);
    workerDomains.put(id, domain);
    list(id, HostRole.WORKER, domain, proxy.address(), HostState.LIVE);
    return new ProxiedWorker(id, process, address, proxy);
  }

  /**
   * Kills a worker and keeps what it saw; what ran on it ended at its death at the latest.
   *
   * <p>Nothing may be about to start on it, as a start after its last record would be missed.
   */
  void killWorker(ProxiedWorker worker) {
    JsonObject record = workerRecord(worker.id());
    worker.process().kill();
    long deadHostMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    workerAddresses.remove(worker.id());
    recordsOfDead.add(Records.endedAt(record, deadHostMs));
  }

  /** Returns what a living worker saw by itself. */
  JsonObject workerRecord(String workerId) {
    String address = workerAddresses.get(workerId);
    return http.send("GET", "http://" + address + "/v1/record", "").body();
  }

  /** Starts workers of one domain in one process, with names {@code domain-w0} and so on. */
  JavaProcess startWorkers(String domain, int count, String... options) {
    List<String> args = new ArrayList<>(List.of("--domain", domain, "--rack", domain + "-rack"));
    args.addAll(List.of(options));
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add(domain + "-w" + workerAddresses.size() + "." + i);
      args.addAll(List.of("--id", names.get(i)));
    }
    JavaProcess process = platform("worker", args);
    for (String name : names) {
      String address = process.awaitReady().get(READY_ADDRESS);
      workerAddresses.put(name, address);
      workerDomains.put(name, domain);
      list(name, HostRole.WORKER, domain, address, HostState.LIVE);
    }
    return process;
  }

  void list(String hostId, HostRole role, String domain, String address, HostState state) {
    listIn(hostsAddress, hostId, role, domain, address, state);
  }

  /** Lists a host in one of several host lists. */
  void listIn(
      String hostList,
      String hostId,
      HostRole role,
      String domain,
      String address,
      HostState state) {
    HostEntry entry = new HostEntry(hostId, role, domain, REGION, domain + "-rack", address, state);
    http.send("PUT", "http://" + hostList + "/v1/hosts/" + hostId, gson.toJson(entry));
  }

  void unlist(String hostId) {
    http.send("DELETE", "http://" + hostsAddress + "/v1/hosts/" + hostId, "");
  }

  /** Starts a daemon and lists it. */
  JavaProcess startDaemon(String hostId, String domain, String... options) {
    List<String> args = new ArrayList<>();
    args.addAll(List.of("--host-id", hostId, "--domain", domain, "--region", REGION));
    args.addAll(List.of("--http-bind", "127.0.0.1:0", "--peer-bind", "127.0.0.1:0"));
    args.addAll(List.of("--log", daemonLogAddress, "--hosts", daemonHostsAddress));
    args.addAll(List.of("--host-list-poll-ms", "200", "--status-ms", "200"));
    args.addAll(List.of(options));
    JavaProcess process =
        JavaProcess.start(HickorymoordMain.class, directory.resolve(hostId + ".err"), args);
    processes.add(process);
    List<String> ready = process.awaitReady();
    daemons.put(hostId, process);
    httpAddresses.put(hostId, ready.get(READY_ADDRESS));
    peerAddresses.put(hostId, ready.get(READY_PEER_ADDRESS));
    list(hostId, HostRole.ENTRY, domain, ready.get(READY_PEER_ADDRESS), HostState.LIVE);
    return process;
  }

  String peerAddress(String hostId) {
    return peerAddresses.get(hostId);
  }

  String workerAddress(String workerId) {
    return workerAddresses.get(workerId);
  }

  /** Returns the workers of a failure domain that live. */
  List<String> workerIds(String domain) {
    return workerAddresses.keySet().stream()
        .filter(workerId -> workerDomains.get(workerId).equals(domain))
        .toList();
  }

  JavaProcess daemon(String hostId) {
    return daemons.get(hostId);
  }

  Http http() {
    return http;
  }

  String url(String hostId, String path) {
    return "http://" + httpAddresses.get(hostId) + path;
  }

  Http.Reply submit(String hostId, String record, long waitMs) {
    return http.send("POST", url(hostId, "/v1/jobs?waitMs=" + waitMs), record);
  }

  CompletableFuture<Http.Reply> submitAsync(String hostId, String record, long waitMs) {
    return http.sendAsync("POST", url(hostId, "/v1/jobs?waitMs=" + waitMs), record);
  }

  /** Waits until a job of team {@code team} is in a state. */
  void awaitState(String hostId, String key, String state) {
    Awaitility.await()
        .atMost(LIMIT)
        .until(() -> get(hostId, "/v1/jobs/team/" + key).state().equals(state));
  }

  /** Waits until one of the daemons coordinates, and returns it. */
  String awaitCoordinator(List<String> hostIds) {
    return Awaitility.await()
        .atMost(LIMIT)
        .until(() -> hostIds.stream().filter(this::coordinates).findFirst(), Optional::isPresent)
        .orElseThrow();
  }

  /** Waits until daemons know which host coordinates. */
  void awaitKnownCoordinator(String coordinator, List<String> hostIds) {
    Awaitility.await()
        .atMost(LIMIT)
        .until(() -> hostIds.stream().allMatch(hostId -> knows(hostId, coordinator)));
  }

  private boolean knows(String hostId, String coordinator) {
    JsonElement known = get(hostId, "/v1/cell").body().get("coordinatorId");
    return known != null && known.getAsString().equals(coordinator);
  }

  /** Submits again while the answer is that the job was not run, as a caller would. */
  Http.Reply submitUntilRun(String hostId, String record, long waitMs) {
    return Awaitility.await()
        .atMost(LIMIT)
        .until(() -> submit(hostId, record, waitMs), reply -> !reply.state().equals("not-run"));
  }

  /** Waits until daemons see the log in a state. */
  void awaitLog(String state, List<String> hostIds) {
    Awaitility.await()
        .atMost(LIMIT)
        .until(
            () ->
                hostIds.stream()
                    .map(hostId -> get(hostId, "/v1/cell").body().get("logState").getAsString())
                    .allMatch(state::equals));
  }

  /** Waits until no daemon takes on jobs that must not be repeated. */
  void awaitNoClaims(List<String> hostIds) {
    Awaitility.await()
        .atMost(LIMIT)
        .until(
            () ->
                hostIds.stream()
                    .noneMatch(
                        hostId -> get(hostId, "/v1/cell").body().get("claims").getAsBoolean()));
  }

  /** Waits until daemons say that callers may be sent to them. */
  void awaitServing(List<String> hostIds) {
    Awaitility.await()
        .atMost(LIMIT)
        .until(() -> hostIds.stream().allMatch(id -> get(id, "/readyz").status() == 200));
  }

  /** Sets faults of the log. */
  void logFaults(String json) {
    http.send("POST", "http://" + logAddress + "/v1/faults", json);
  }

  Http.Reply get(String hostId, String path) {
    return http.send("GET", url(hostId, path), "");
  }

  /** Tells whether a daemon says that it coordinates its domain. */
  boolean coordinates(String hostId) {
    return http.trySend("GET", url(hostId, "/v1/cell"), "")
        .map(reply -> reply.body().get("coordinator").getAsBoolean())
        .orElse(false);
  }

  /** Returns what every worker saw by itself. */
  List<JsonObject> workerRecords() {
    List<JsonObject> records = new ArrayList<>(recordsOfDead);
    workerAddresses.keySet().forEach(workerId -> records.add(workerRecord(workerId)));
    return records;
  }

  /** Counts how often tasks of a job began to run on any worker. */
  int starts(String jobId) {
    int starts = 0;
    for (JsonObject record : workerRecords()) {
      JsonArray started = record.getAsJsonArray("starts");
      for (var start : started) {
        String taskId = start.getAsJsonObject().get("taskId").getAsString();
        starts += taskId.startsWith(jobId + "/") ? 1 : 0;
      }
    }
    return starts;
  }

  /** Returns the jobs any of whose tasks began to run on any worker. */
  Set<String> startedJobs() {
    Set<String> started = new HashSet<>();
    for (JsonObject record : workerRecords()) {
      for (var start : record.getAsJsonArray("starts")) {
        String taskId = start.getAsJsonObject().get("taskId").getAsString();
        started.add(taskId.substring(0, Math.max(0, taskId.indexOf('/'))));
      }
    }
    return started;
  }

  /** Counts how often tasks of any job began to run on one worker that lives. */
  int startsOn(String workerId) {
    return startsOnSince(workerId, Long.MIN_VALUE);
  }

  /** Counts the starts on one worker that lives from a time of the machine's clock on. */
  int startsOnSince(String workerId, long fromHostMs) {
    int starts = 0;
    for (var start : workerRecord(workerId).getAsJsonArray("starts")) {
      JsonObject started = start.getAsJsonObject();
      boolean isTask = !started.get("taskId").getAsString().startsWith("hold:");
      starts += isTask && started.get("hostMs").getAsLong() >= fromHostMs ? 1 : 0;
    }
    return starts;
  }

  /** Waits until the only task of a job of team {@code team} runs, and returns its worker. */
  String awaitWorkerOf(String hostId, String key) {
    awaitState(hostId, key, "running");
    return get(hostId, "/v1/jobs/team/" + key).workerId(0);
  }

  /** Counts how often tasks of any job began to run on any worker. */
  int startedTasks() {
    int started = 0;
    for (JsonObject record : workerRecords()) {
      for (var start : record.getAsJsonArray("starts")) {
        String taskId = start.getAsJsonObject().get("taskId").getAsString();
        started += taskId.startsWith("hold:") ? 0 : 1;
      }
    }
    return started;
  }

  @Override
  public void close() {
    processes.forEach(JavaProcess::kill);
    proxies.forEach(FaultProxy::stop);
  }
}
