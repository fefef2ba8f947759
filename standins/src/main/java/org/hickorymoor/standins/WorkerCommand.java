package org.hickorymoor.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.standins.worker.WorkerFaults;
import org.hickorymoor.standins.worker.WorkerSettings;
import org.hickorymoor.standins.worker.WorkerStandIn;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs one or more worker stand-ins of equal capacity. */
final class WorkerCommand extends StandInCommand {

  @Option(
      name = "--id",
      required = true,
      metaVar = "ID",
      usage = "id of the worker; may be repeated")
  private List<String> ids = new ArrayList<>();

  @Option(name = "--domain", metaVar = "NAME", usage = "failure domain")
  private String domain = "domain-1";

  @Option(name = "--rack", metaVar = "NAME", usage = "rack within the failure domain")
  private String rack = "rack-1";

  @Option(name = "--slots", metaVar = "N", usage = "task slots")
  private int slots = 8;

  @Option(name = "--connections", metaVar = "N", usage = "open connections")
  private int connections = 64;

  @Option(name = "--cpu-millis", metaVar = "N", usage = "CPU capacity in thousandths of a core")
  private int cpuMillis = 16_000;

  @Option(name = "--memory-mb", metaVar = "N", usage = "memory capacity in MiB")
  private int memoryMb = 32_768;

  @Option(name = "--accelerators", metaVar = "N", usage = "accelerators")
  private int accelerators = 0;

  @Option(name = "--usage-lag-ms", metaVar = "MS", usage = "age of the usage reported")
  private long usageLagMs = 0;

  @Option(
      name = "--drain-percent",
      metaVar = "N",
      usage = "actual speed as a percentage of the declared speed")
  private int drainPercent = 100;

  @Option(
      name = "--cpu-percent",
      metaVar = "N",
      usage = "actual CPU usage as a percentage of that in the payload")
  private int cpuPercent = 100;

  @Option(
      name = "--memory-percent",
      metaVar = "N",
      usage = "actual memory usage as a percentage of that in the payload")
  private int memoryPercent = 100;

  @Option(name = "--fail-all", usage = "fail every task")
  private boolean failAll = false;

  private final List<WorkerStandIn> workers = new CopyOnWriteArrayList<>();

  @Override
  @SuppressWarnings("deprecation") // The other constructor requires a localizer for a fixed text.
  List<String> start(CmdLineParser parser) throws CmdLineException, IOException {
    if (port != 0 && ids.size() > 1) {
      throw new CmdLineException(
          parser,
          "expected --port 0 with several --id, got " + port + "; run one process per --id");
    }
    Resources capacity = new Resources(slots, connections, cpuMillis, memoryMb, accelerators);
    WorkerFaults faults = new WorkerFaults(drainPercent, cpuPercent, memoryPercent, failAll, false);
    List<String> addresses = new ArrayList<>();
    for (String id : ids) {
      WorkerStandIn worker =
          new WorkerStandIn(
              new WorkerSettings(id, domain, rack, capacity, usageLagMs, bindHost, port));
      worker.setFaults(faults);
      workers.add(worker);
      worker.start();
      addresses.add(worker.address());
    }
    return addresses;
  }

  @Override
  void stop() {
    workers.forEach(WorkerStandIn::stop);
  }
}
