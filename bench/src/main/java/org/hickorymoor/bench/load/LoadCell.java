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

/**
 * A failure domain of real processes on the loopback interface. Proxies count the bytes between the
 * entry hosts and the workers, the log and the host list.
 */
final class LoadCell implements AutoCloseable {

  private static final String DOMAIN = "kano";
  private static final String REGION = "north";
  private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";
  private static final int WORKERS_PER_RACK = 8;
  private static final String WORKER_SLOTS = "32";
  private static final List<String> PLATFORM_JVM_OPTIONS =
      List.of("-Xmx384m", "-Xss256k", "-XX:+UseSerialGC");
  private static final long OWNERSHIP_TIMEOUT_MS = 60_000;
  private static final long POLL_INTERVAL_MS = 20;
  private static final long NS_PER_MS = 1_000_000;

  /**
   * A running entry host and the proxies between it and the platform.
   *
   * @param process the daemon process
   * @param httpAddress address of the HTTP interface
   * @param logProxy proxy in front of the log
   * @param hostsProxy proxy in front of the host list
   */
  record EntryHost(
      ChildProcess process, String httpAddress, FaultProxy logProxy, FaultProxy hostsProxy) {}

  private final Gson gson = new Gson();
  private final JsonHttpClient http;
  private final Path folder;
  private final LoadPoint point;
  private final List<ChildProcess> processes = new ArrayList<>();
  private final List<FaultProxy> proxies = new ArrayList<>();
  private final List<FaultProxy> workerProxies = new ArrayList<>();
  private final List<String> workerAddresses = new ArrayList<>();
  private final List<EntryHost> entryHosts = new ArrayList<>();
  private String hostsAddress = "";

  LoadCell(LoadPoint point, Path folder, JsonHttpClient http) {
    this.point = point;
    this.folder = folder;
    this.http = http;
  }

  /** Starts all processes and waits until the coordinator owns every worker. */
  void start() throws IOException, LoadException, InterruptedException {
    final String logAddress = startPlatformProcess("log", List.of()).awaitAddress();
    hostsAddress = startPlatformProcess("hosts", List.of()).awaitAddress();
    startWorkers();
    for (int i = 0; i < point.listedElsewhere(); i++) {
      String id = "far-w" + i;
      registerHost(
          new HostEntry(
              id,
              HostRole.WORKER,
              "far-" + i % 15,
              "south",
              "r" + i,
              UNREACHABLE_ADDRESS,
              HostState.LIVE));
    }
    for (int i = 0; i < point.daemons(); i++) {
      startEntryHost("e" + i, logAddress);
    }
    awaitWorkersOwned();
  }

  private ChildProcess startPlatformProcess(String kind, List<String> args) throws IOException {
    List<String> allArgs = new ArrayList<>(List.of(kind));
    allArgs.addAll(args);
    ChildProcess process =
        ChildProcess.start(
            StandInsMain.class, PLATFORM_JVM_OPTIONS, allArgs, folder.resolve(kind + ".err"));
    processes.add(process);
    return process;
  }

  private void startWorkers() throws IOException, LoadException, InterruptedException {
    List<String> args = new ArrayList<>(List.of("--domain", DOMAIN, "--slots", WORKER_SLOTS));
    for (int i = 0; i < point.workers(); i++) {
      args.addAll(List.of("--id", "w" + i));
    }
    ChildProcess process = startPlatformProcess("worker", args);
    for (int i = 0; i < point.workers(); i++) {
      String address = process.awaitAddress();
      workerAddresses.add(address);
      FaultProxy proxy = startProxy(address);
      workerProxies.add(proxy);
      String rack = "rack-" + i / WORKERS_PER_RACK;
      registerHost(
          new HostEntry(
              "w" + i, HostRole.WORKER, DOMAIN, REGION, rack, proxy.address(), HostState.LIVE));
    }
  }

  private FaultProxy startProxy(String address) throws IOException {
    FaultProxy proxy = new FaultProxy(ProxySettings.to(address, 1));
    proxy.start();
    proxies.add(proxy);
    return proxy;
  }

  private void registerHost(HostEntry entry) throws LoadException {
    http.call("PUT", "http://" + hostsAddress + "/v1/hosts/" + entry.hostId(), gson.toJson(entry));
  }

  private void startEntryHost(String hostId, String logAddress)
      throws IOException, LoadException, InterruptedException {
    FaultProxy logProxy = startProxy(logAddress);
    FaultProxy hostsProxy = startProxy(hostsAddress);
    List<String> args = new ArrayList<>();
    args.addAll(List.of("--host-id", hostId, "--domain", DOMAIN, "--region", REGION));
    args.addAll(List.of("--http-bind", "127.0.0.1:0", "--peer-bind", "127.0.0.1:0"));
    args.addAll(List.of("--log", logProxy.address(), "--hosts", hostsProxy.address()));
    ChildProcess process =
        ChildProcess.start(
            HickorymoordMain.class,
            ChildProcess.SMALL_HEAP_OPTIONS,
            args,
            folder.resolve(hostId + ".err"));
    processes.add(process);
    List<String> addresses = process.awaitDaemonAddresses();
    entryHosts.add(new EntryHost(process, addresses.get(0), logProxy, hostsProxy));
    registerHost(
        new HostEntry(
            hostId, HostRole.ENTRY, DOMAIN, REGION, "rack-0", addresses.get(1), HostState.LIVE));
  }

  /** Kills the coordinator and returns the time in ms until another one owns every worker. */
  long killCoordinator() throws LoadException, InterruptedException {
    for (EntryHost entryHost : List.copyOf(entryHosts)) {
      if (isCoordinator(entryHost)) {
        final long startNs = System.nanoTime();
        entryHost.process().close();
        entryHosts.remove(entryHost);
        awaitWorkersOwned();
        return (System.nanoTime() - startNs) / NS_PER_MS;
      }
    }
    throw new LoadException("expected a coordinator in the cell of " + point + ", found none");
  }

  private void awaitWorkersOwned() throws LoadException, InterruptedException {
    long deadlineNs = System.nanoTime() + OWNERSHIP_TIMEOUT_MS * NS_PER_MS;
    while (System.nanoTime() < deadlineNs) {
      for (EntryHost entryHost : entryHosts) {
        JsonObject cell = http.get(url(entryHost, "/v1/cell"));
        if (cell.get("workersOwned").getAsInt() == point.workers() && reportsCoordinator(cell)) {
          return;
        }
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
    throw new LoadException(
        "expected a coordinator to own all workers of "
            + point
            + " within "
            + OWNERSHIP_TIMEOUT_MS
            + " ms");
  }

  private static boolean reportsCoordinator(JsonObject cell) {
    return cell.get("coordinator").getAsBoolean();
  }

  static String url(EntryHost entryHost, String path) {
    return "http://" + entryHost.httpAddress() + path;
  }

  List<EntryHost> entryHosts() {
    return entryHosts;
  }

  boolean isCoordinator(EntryHost entryHost) throws LoadException {
    return reportsCoordinator(http.get(url(entryHost, "/v1/cell")));
  }

  /** Returns the mean bytes in both directions between the domain's entry hosts and one worker. */
  long meanBytesPerWorker() {
    return workerProxies.stream().mapToLong(LoadCell::totalBytes).sum() / workerProxies.size();
  }

  static long totalBytes(FaultProxy proxy) {
    return proxy.bytesToTarget() + proxy.bytesToClient();
  }

  /** Returns the time of each job's first task start, in ms of the machine's monotonic clock. */
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

  /** Kills all processes, in reverse order of their start, and stops the proxies. */
  @Override
  public void close() {
    for (int i = processes.size() - 1; i >= 0; i--) {
      processes.get(i).close();
    }
    proxies.forEach(FaultProxy::stop);
  }
}
