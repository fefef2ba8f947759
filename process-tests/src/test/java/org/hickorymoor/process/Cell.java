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

/** A cell under test whose log, host list, workers and daemons run in separate processes. */
final class Cell implements AutoCloseable {

  /** Daemon options with short leases, so that a failover completes within seconds. */
  static final String[] SHORT_LEASES = {
    "--hold-lease-ms", "2000",
    "--hold-margin-ms", "200",
    "--sync-wait-ms", "300",
    "--call-timeout-ms", "500",
    "--task-lease-ms", "6000"
  };

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final String REGION = "north";
  private static final int READY_ADDRESS = 2;
  private static final int READY_PEER_ADDRESS = 4;
  private static final long PROXY_SEED = 1;

  private final Path directory;
  private final Gson gson = new Gson();
  private final HttpJsonClient http = new HttpJsonClient();
  private final List<JavaProcess> processes = new ArrayList<>();
  private final Map<String, JavaProcess> daemons = new LinkedHashMap<>();
  private final Map<String, String> httpAddresses = new LinkedHashMap<>();
  private final Map<String, String> workerAddresses = new LinkedHashMap<>();
  private final String logAddress;
  private final String hostsAddress;
  private final List<FaultProxy> proxies = new ArrayList<>();
  private final List<JsonObject> recordsOfKilledWorkers = new ArrayList<>();
  private final Map<String, String> peerAddresses = new LinkedHashMap<>();
  private final Map<String, String> workerDomains = new LinkedHashMap<>();
  private String daemonLogAddress;
  private String daemonHostsAddress;

  Cell(Path directory) {
    this.directory = directory;
    JavaProcess log = startStandIn("log", List.of());
    JavaProcess hosts = startStandIn("hosts", List.of());
    logAddress = log.awaitReady().get(READY_ADDRESS);
    hostsAddress = hosts.awaitReady().get(READY_ADDRESS);
    daemonLogAddress = logAddress;
    daemonHostsAddress = hostsAddress;
  }

  private JavaProcess startStandIn(String kind, List<String> options) {
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

  /** Sets the log address passed to daemons started later, such as that of a proxy. */
  void setDaemonLogAddress(String address) {
    daemonLogAddress = address;
  }

  /** Sets the host list address passed to daemons started later. */
  void setDaemonHostListAddress(String address) {
    daemonHostsAddress = address;
  }

  String hostsAddress() {
    return hostsAddress;
  }

  /** Starts another host list, for daemons that reach other hosts through proxies. */
  String startHostList() {
    return startStandIn("hosts", List.of()).awaitReady().get(READY_ADDRESS);
  }

  /** Starts a fault-injecting proxy in front of an address. */
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

  /** Starts a worker in its own process and registers it under the address of a proxy. */
  ProxiedWorker startProxiedWorker(String id, String domain, String... options) {
    List<String> args = new ArrayList<>(List.of("--domain", domain, "--id", id));
    args.addAll(List.of("--rack", domain + "-rack"));
    args.addAll(List.of(options));
    JavaProcess process = startStandIn("worker", args);
    String address = process.awaitReady().get(READY_ADDRESS);
    FaultProxy proxy = startProxy(address);
    workerAddresses.put(id, address);
    workerDomains.put(id, domain);
    registerHost(id, HostRole.WORKER, domain, proxy.address(), HostState.LIVE);
    return new ProxiedWorker(id, process, address, proxy);
  }

  /**
   * Kills a worker and keeps its record, with the runs that were still open ended at the kill.
   *
   * <p>No task may be about to start on it: a start after the last read of the record is missed.
   */
  void killWorker(ProxiedWorker worker) {
    JsonObject record = workerRecord(worker.id());
    worker.process().kill();
    long killedHostMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    workerAddresses.remove(worker.id());
    recordsOfKilledWorkers.add(TestRecords.withOpenRunsEndedAt(record, killedHostMs));
  }

  /** Returns the record kept by a live worker. */
  JsonObject workerRecord(String workerId) {
    String address = workerAddresses.get(workerId);
    return http.send("GET", "http://" + address + "/v1/record", "").body();
  }

  /** Starts workers of one failure domain in one process, with ids such as {@code kano-w0.1}. */
  JavaProcess startWorkers(String domain, int count, String... options) {
    List<String> args = new ArrayList<>(List.of("--domain", domain, "--rack", domain + "-rack"));
    args.addAll(List.of(options));
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add(domain + "-w" + workerAddresses.size() + "." + i);
      args.addAll(List.of("--id", names.get(i)));
    }
    JavaProcess process = startStandIn("worker", args);
    for (String name : names) {
      String address = process.awaitReady().get(READY_ADDRESS);
      workerAddresses.put(name, address);
      workerDomains.put(name, domain);
      registerHost(name, HostRole.WORKER, domain, address, HostState.LIVE);
    }
    return process;
  }

  void registerHost(String hostId, HostRole role, String domain, String address, HostState state) {
    registerHostIn(hostsAddress, hostId, role, domain, address, state);
  }

  /** Registers a host in the host list at the given address. */
  void registerHostIn(
      String hostList,
      String hostId,
      HostRole role,
      String domain,
      String address,
      HostState state) {
    HostEntry entry = new HostEntry(hostId, role, domain, REGION, domain + "-rack", address, state);
    http.send("PUT", "http://" + hostList + "/v1/hosts/" + hostId, gson.toJson(entry));
  }

  void deregisterHost(String hostId) {
    http.send("DELETE", "http://" + hostsAddress + "/v1/hosts/" + hostId, "");
  }

  /** Starts a daemon and registers it as an entry host. */
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
    registerHost(hostId, HostRole.ENTRY, domain, ready.get(READY_PEER_ADDRESS), HostState.LIVE);
    return process;
  }

  String peerAddress(String hostId) {
    return peerAddresses.get(hostId);
  }

  String workerAddress(String workerId) {
    return workerAddresses.get(workerId);
  }

  /** Returns the ids of the live workers of a failure domain. */
  List<String> workerIds(String domain) {
    return workerAddresses.keySet().stream()
        .filter(workerId -> workerDomains.get(workerId).equals(domain))
        .toList();
  }

  JavaProcess daemon(String hostId) {
    return daemons.get(hostId);
  }

  HttpJsonClient http() {
    return http;
  }

  String url(String hostId, String path) {
    return "http://" + httpAddresses.get(hostId) + path;
  }

  HttpJsonClient.Reply submit(String hostId, String record, long waitMs) {
    return http.send("POST", url(hostId, "/v1/jobs?waitMs=" + waitMs), record);
  }

  CompletableFuture<HttpJsonClient.Reply> submitAsync(String hostId, String record, long waitMs) {
    return http.sendAsync("POST", url(hostId, "/v1/jobs?waitMs=" + waitMs), record);
  }

  /** Waits until a job of team {@code team} is in a state. */
  void awaitState(String hostId, String key, String state) {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> get(hostId, "/v1/jobs/team/" + key).state().equals(state));
  }

  /** Waits until one of the daemons is coordinator, and returns its host id. */
  String awaitCoordinator(List<String> hostIds) {
    return Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> hostIds.stream().filter(this::isCoordinator).findFirst(), Optional::isPresent)
        .orElseThrow();
  }

  /** Waits until all the daemons report the given coordinator. */
  void awaitKnownCoordinator(String coordinator, List<String> hostIds) {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> hostIds.stream().allMatch(hostId -> knowsCoordinator(hostId, coordinator)));
  }

  private boolean knowsCoordinator(String hostId, String coordinator) {
    JsonElement known = get(hostId, "/v1/cell").body().get("coordinatorId");
    return known != null && known.getAsString().equals(coordinator);
  }

  /** Resubmits until the reply is other than {@code not-run}, as a client would. */
  HttpJsonClient.Reply submitUntilAccepted(String hostId, String record, long waitMs) {
    return Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> submit(hostId, record, waitMs), reply -> !reply.state().equals("not-run"));
  }

  /** Waits until all the daemons report the log in a state. */
  void awaitLogState(String state, List<String> hostIds) {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(
            () ->
                hostIds.stream()
                    .map(hostId -> get(hostId, "/v1/cell").body().get("logState").getAsString())
                    .allMatch(state::equals));
  }

  /** Waits until no daemon claims non-repeatable jobs any more. */
  void awaitClaimsDisabled(List<String> hostIds) {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(
            () ->
                hostIds.stream()
                    .noneMatch(
                        hostId -> get(hostId, "/v1/cell").body().get("claims").getAsBoolean()));
  }

  /** Waits until all the daemons report ready. */
  void awaitServing(List<String> hostIds) {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> hostIds.stream().allMatch(id -> get(id, "/readyz").status() == 200));
  }

  /** Replaces the faults injected by the log stand-in. */
  void setLogFaults(String json) {
    http.send("POST", "http://" + logAddress + "/v1/faults", json);
  }

  HttpJsonClient.Reply get(String hostId, String path) {
    return http.send("GET", url(hostId, path), "");
  }

  /** Returns whether a daemon reports itself as coordinator; false if it does not answer. */
  boolean isCoordinator(String hostId) {
    return http.trySend("GET", url(hostId, "/v1/cell"), "")
        .map(reply -> reply.body().get("coordinator").getAsBoolean())
        .orElse(false);
  }

  /** Returns the records of all workers, killed ones included. */
  List<JsonObject> workerRecords() {
    List<JsonObject> records = new ArrayList<>(recordsOfKilledWorkers);
    workerAddresses.keySet().forEach(workerId -> records.add(workerRecord(workerId)));
    return records;
  }

  /** Returns the number of task starts of a job over all workers. */
  int countTaskStarts(String jobId) {
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

  /** Returns the ids of the jobs of which any task was started on any worker. */
  Set<String> startedJobIds() {
    Set<String> started = new HashSet<>();
    for (JsonObject record : workerRecords()) {
      for (var start : record.getAsJsonArray("starts")) {
        String taskId = start.getAsJsonObject().get("taskId").getAsString();
        started.add(taskId.substring(0, Math.max(0, taskId.indexOf('/'))));
      }
    }
    return started;
  }

  /** Returns the number of task starts on a live worker. */
  int countStartsOnWorker(String workerId) {
    return countStartsOnWorkerSince(workerId, Long.MIN_VALUE);
  }

  /** Returns the number of task starts on a live worker since a time of the machine's clock. */
  int countStartsOnWorkerSince(String workerId, long fromHostMs) {
    int starts = 0;
    for (var start : workerRecord(workerId).getAsJsonArray("starts")) {
      JsonObject started = start.getAsJsonObject();
      boolean isTask = !started.get("taskId").getAsString().startsWith("hold:");
      starts += isTask && started.get("hostMs").getAsLong() >= fromHostMs ? 1 : 0;
    }
    return starts;
  }

  /** Waits until the only task of a job of team {@code team} runs; returns its worker's id. */
  String awaitWorkerRunning(String hostId, String key) {
    awaitState(hostId, key, "running");
    return get(hostId, "/v1/jobs/team/" + key).workerId(0);
  }

  /** Returns the number of task starts over all jobs and workers. */
  int countStartedTasks() {
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
