package org.hickorymoor.bench.load;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorymoor.daemon.HickorymoordMain;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;
import org.hickorymoor.standins.StandInsMain;
import org.hickorymoor.standins.proxy.FaultProxy;
import org.hickorymoor.standins.proxy.ProxySettings;

/** One failure domain of real processes on loopback, with byte counts at its edges. */
final class LoadCell implements AutoCloseable {

  private static final String DOMAIN = "kano";
  private static final String REGION = "north";
  private static final String DEAD_ADDRESS = "127.0.0.1:1";
  private static final int WORKERS_PER_RACK = 8;
  private static final String WORKER_SLOTS = "32";
  private static final List<String> PLATFORM_OPTIONS =
      List.of("-Xmx384m", "-Xss256k", "-XX:+UseSerialGC");
  private static final long SETTLE_LIMIT_MS = 60_000;
  private static final long POLL_MS = 20;
  private static final long NS_PER_MS = 1_000_000;

  /**
   * An entry host and the proxies on its way to the platform.
   *
   * @param process its process
   * @param httpAddress where callers are served
   * @param log proxy before the log
   * @param hosts proxy before the host list
   */
  record EntryProcess(ChildProcess process, String httpAddress, FaultProxy log, FaultProxy hosts) {}

  private final Gson gson = new Gson();
  private final HttpCalls http;
  private final Path folder;
  private final LoadPoint point;
  private final List<ChildProcess> processes = new ArrayList<>();
  private final List<FaultProxy> proxies = new ArrayList<>();
  private final List<FaultProxy> workerProxies = new ArrayList<>();
  private final List<String> workerAddresses = new ArrayList<>();
  private final List<EntryProcess> daemons = new ArrayList<>();
  private String hostsAddress = "";

  LoadCell(LoadPoint point, Path folder, HttpCalls http) {
    this.point = point;
    this.folder = folder;
    this.http = http;
  }

  /** Starts everything and waits until one daemon holds every worker. */
  void start() throws IOException, LoadException, InterruptedException {
    final String logAddress = platform("log", List.of()).awaitAddress();
    hostsAddress = platform("hosts", List.of()).awaitAddress();
    startWorkers();
    for (int i = 0; i < point.listedElsewhere(); i++) {
      String id = "far-w" + i;
      list(
          new HostEntry(
              id,
              HostRole.WORKER,
              "far-" + i % 15,
              "south",
              "r" + i,
              DEAD_ADDRESS,
              HostState.LIVE));
    }
    for (int i = 0; i < point.daemons(); i++) {
      startDaemon("e" + i, logAddress);
    }
    awaitSettled();
  }

  private ChildProcess platform(String kind, List<String> args) throws IOException {
    List<String> all = new ArrayList<>(List.of(kind));
    all.addAll(args);
    ChildProcess process =
        ChildProcess.start(
            StandInsMain.class, PLATFORM_OPTIONS, all, folder.resolve(kind + ".err"));
    processes.add(process);
    return process;
  }

  private void startWorkers() throws IOException, LoadException, InterruptedException {
    List<String> args = new ArrayList<>(List.of("--domain", DOMAIN, "--slots", WORKER_SLOTS));
    for (int i = 0; i < point.workers(); i++) {
      args.addAll(List.of("--id", "w" + i));
    }
    ChildProcess process = platform("worker", args);
    for (int i = 0; i < point.workers(); i++) {
      String address = process.awaitAddress();
      workerAddresses.add(address);
      FaultProxy proxy = proxyTo(address);
      workerProxies.add(proxy);
      String rack = "rack-" + i / WORKERS_PER_RACK;
      list(
          new HostEntry(
              "w" + i, HostRole.WORKER, DOMAIN, REGION, rack, proxy.address(), HostState.LIVE));
    }
  }

  private FaultProxy proxyTo(String address) throws IOException {
    FaultProxy proxy = new FaultProxy(ProxySettings.to(address, 1));
    proxy.start();
    proxies.add(proxy);
    return proxy;
  }

  private void list(HostEntry entry) throws LoadException {
    http.call("PUT", "http://" + hostsAddress + "/v1/hosts/" + entry.hostId(), gson.toJson(entry));
  }

  private void startDaemon(String hostId, String logAddress)
      throws IOException, LoadException, InterruptedException {
    FaultProxy log = proxyTo(logAddress);
    FaultProxy hosts = proxyTo(hostsAddress);
    List<String> args = new ArrayList<>();
    args.addAll(List.of("--host-id", hostId, "--domain", DOMAIN, "--region", REGION));
    args.addAll(List.of("--http-bind", "127.0.0.1:0", "--peer-bind", "127.0.0.1:0"));
    args.addAll(List.of("--log", log.address(), "--hosts", hosts.address()));
    ChildProcess process =
        ChildProcess.start(
            HickorymoordMain.class,
            ChildProcess.SMALL_MEMORY,
            args,
            folder.resolve(hostId + ".err"));
    processes.add(process);
    List<String> addresses = process.awaitDaemonAddresses();
    daemons.add(new EntryProcess(process, addresses.get(0), log, hosts));
    list(
        new HostEntry(
            hostId, HostRole.ENTRY, DOMAIN, REGION, "rack-0", addresses.get(1), HostState.LIVE));
  }

  /** Kills the coordinator and returns the time until another one holds every worker, in ms. */
  long killCoordinator() throws LoadException, InterruptedException {
    for (EntryProcess daemon : List.copyOf(daemons)) {
      if (coordinates(daemon)) {
        final long startNs = System.nanoTime();
        daemon.process().close();
        daemons.remove(daemon);
        awaitSettled();
        return (System.nanoTime() - startNs) / NS_PER_MS;
      }
    }
    throw new LoadException("expected a coordinator of " + point + ", found none");
  }

  private void awaitSettled() throws LoadException, InterruptedException {
    long limitNs = System.nanoTime() + SETTLE_LIMIT_MS * NS_PER_MS;
    while (System.nanoTime() < limitNs) {
      for (EntryProcess daemon : daemons) {
        JsonObject cell = http.get(url(daemon, "/v1/cell"));
        if (cell.get("workersOwned").getAsInt() == point.workers() && isCoordinator(cell)) {
          return;
        }
      }
      Thread.sleep(POLL_MS);
    }
    throw new LoadException("expected one daemon to hold all workers of " + point + " in time");
  }

  private static boolean isCoordinator(JsonObject cell) {
    return cell.get("coordinator").getAsBoolean();
  }

  static String url(EntryProcess daemon, String path) {
    return "http://" + daemon.httpAddress() + path;
  }

  List<EntryProcess> daemons() {
    return daemons;
  }

  boolean coordinates(EntryProcess daemon) throws LoadException {
    return isCoordinator(http.get(url(daemon, "/v1/cell")));
  }

  /** Returns the bytes both ways between the domain's entry hosts and a worker, on average. */
  long bytesOfOneWorker() {
    return workerProxies.stream().mapToLong(LoadCell::bytes).sum() / workerProxies.size();
  }

  static long bytes(FaultProxy proxy) {
    return proxy.bytesToTarget() + proxy.bytesToClient();
  }

  /** Returns when each job's first task began to run, in ms of the machine's monotonic clock. */
  Map<String, Long> firstStartsMs() throws LoadException {
    Map<String, Long> firstMs = new HashMap<>();
    for (String address : workerAddresses) {
      JsonObject record = http.get("http://" + address + "/v1/record");
      for (JsonElement element : record.getAsJsonArray("starts")) {
        JsonObject start = element.getAsJsonObject();
        String taskId = start.get("taskId").getAsString();
        int slash = taskId.indexOf('/');
        if (slash > 0) {
          firstMs.merge(taskId.substring(0, slash), start.get("hostMs").getAsLong(), Math::min);
        }
      }
    }
    return firstMs;
  }

  /** Ends every process and proxy. */
  @Override
  public void close() {
    for (int i = processes.size() - 1; i >= 0; i--) {
      processes.get(i).close();
    }
    proxies.forEach(FaultProxy::stop);
  }
}
