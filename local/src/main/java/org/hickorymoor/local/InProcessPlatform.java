package org.hickorymoor.local;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;
import org.hickorymoor.standins.hosts.HostListSettings;
import org.hickorymoor.standins.hosts.HostListStandIn;
import org.hickorymoor.standins.log.LogSettings;
import org.hickorymoor.standins.log.LogStandIn;
import org.hickorymoor.standins.worker.WorkerSettings;
import org.hickorymoor.standins.worker.WorkerStandIn;

/** Stand-ins for the platform of one failure domain, in this process. Not thread-safe. */
final class InProcessPlatform {

  static final String DOMAIN = "local";
  static final String REGION = "local";

  private static final int WORKERS = 6;
  private static final int WORKERS_PER_RACK = 2;
  private static final int ACCELERATOR_WORKERS = 2;
  private static final int ACCELERATORS = 2;
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 64;
  private static final int CPU_MILLIS = 16_000;
  private static final int MEMORY_MB = 32_768;

  private final LogStandIn log = new LogStandIn(LogSettings.defaults());
  private final HostListStandIn hosts = new HostListStandIn(HostListSettings.withLagMs(0));
  private final List<WorkerStandIn> workers = new ArrayList<>();

  void start() throws IOException {
    log.start();
    hosts.start();
    for (int i = 0; i < WORKERS; i++) {
      startWorker(i);
    }
  }

  private void startWorker(int number) throws IOException {
    int accelerators = number < ACCELERATOR_WORKERS ? ACCELERATORS : 0;
    Resources capacity = new Resources(SLOTS, CONNECTIONS, CPU_MILLIS, MEMORY_MB, accelerators);
    String workerId = "w" + (number + 1);
    String rack = "rack-" + (number / WORKERS_PER_RACK + 1);
    WorkerStandIn worker = new WorkerStandIn(WorkerSettings.of(workerId, DOMAIN, rack, capacity));
    worker.start();
    workers.add(worker);
    hosts.put(
        new HostEntry(
            workerId, HostRole.WORKER, DOMAIN, REGION, rack, worker.address(), HostState.LIVE));
  }

  String logAddress() {
    return log.address();
  }

  String hostsAddress() {
    return hosts.address();
  }

  /** Returns the number of overloads and duplicate task runs that the workers recorded. */
  int faultCount() {
    return workers.stream()
        .map(WorkerStandIn::record)
        .mapToInt(record -> record.overloads().size() + record.doubleRuns().size())
        .sum();
  }

  void stop() {
    workers.forEach(WorkerStandIn::stop);
    hosts.stop();
    log.stop();
  }
}
