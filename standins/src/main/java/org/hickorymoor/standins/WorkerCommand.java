package org.hickorymoor.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.standins.worker.WorkerNoise;
import org.hickorymoor.standins.worker.WorkerSettings;
import org.hickorymoor.standins.worker.WorkerStandIn;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs one or several workers of equal capacity. */
final class WorkerCommand extends StandInCommand {

  @Option(name = "--id", required = true, metaVar = "ID", usage = "name of the worker; may repeat")
  private List<String> ids = new ArrayList<>();

  @Option(name = "--domain", metaVar = "NAME", usage = "failure domain")
  private String domain = "domain-1";

  @Option(name = "--rack", metaVar = "NAME", usage = "rack within the failure domain")
  private String rack = "rack-1";

  @Option(name = "--slots", metaVar = "N", usage = "task slots")
  private int slots = 8;

  @Option(name = "--connections", metaVar = "N", usage = "connections held open")
  private int connections = 64;

  @Option(name = "--cpu-millis", metaVar = "N", usage = "processor time in thousandths of a core")
  private int cpuMillis = 16_000;

  @Option(name = "--memory-mb", metaVar = "N", usage = "memory in mebibytes")
  private int memoryMb = 32_768;

  @Option(name = "--accelerators", metaVar = "N", usage = "whole accelerators")
  private int accelerators = 0;

  @Option(name = "--usage-lag-ms", metaVar = "MS", usage = "age of the usage reported")
  private long usageLagMs = 0;

  @Option(name = "--drain-percent", metaVar = "N", usage = "true speed as a share of the declared")
  private int drainPercent = 100;

  @Option(name = "--cpu-percent", metaVar = "N", usage = "true processor use as a share")
  private int cpuPercent = 100;

  @Option(name = "--memory-percent", metaVar = "N", usage = "true memory use as a share")
  private int memoryPercent = 100;

  @Option(name = "--fail-all", usage = "fail every task")
  private boolean failAll = false;

  private final List<WorkerStandIn> workers = new CopyOnWriteArrayList<>();

  @Override
  @SuppressWarnings("deprecation") // The other constructor wants a localizer for a fixed text.
  List<String> start(CmdLineParser parser) throws CmdLineException, IOException {
    if (port != 0 && ids.size() > 1) {
      throw new CmdLineException(
          parser, "expected --port 0 with several --id, got " + port + "; give one --id a process");
    }
    Resources capacity = new Resources(slots, connections, cpuMillis, memoryMb, accelerators);
    WorkerNoise noise = new WorkerNoise(drainPercent, cpuPercent, memoryPercent, failAll, false);
    List<String> addresses = new ArrayList<>();
    for (String id : ids) {
      WorkerStandIn worker =
          new WorkerStandIn(
              new WorkerSettings(id, domain, rack, capacity, usageLagMs, bindHost, port));
      worker.setNoise(noise);
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
