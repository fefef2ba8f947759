package org.hickorymoor.standins;

import java.io.IOException;
import java.util.List;
import org.hickorymoor.standins.log.LogSettings;
import org.hickorymoor.standins.log.LogStandIn;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs a log stand-in. */
final class LogCommand extends StandInCommand {

  @Option(
      name = "--appends-per-second",
      metaVar = "N",
      usage = "maximum appends per second over all streams")
  private double appendsPerSecond = LogSettings.defaults().appendsPerSecond();

  @Option(name = "--retention-ms", metaVar = "MS", usage = "retention time of records")
  private long retentionMs = LogSettings.defaults().retentionMs();

  @Option(name = "--retention-records", metaVar = "N", usage = "records retained per stream")
  private int retentionRecords = LogSettings.defaults().retentionRecords();

  private volatile @Nullable LogStandIn log;

  @Override
  List<String> start(CmdLineParser parser) throws IOException {
    LogSettings settings =
        new LogSettings(appendsPerSecond, retentionMs, retentionRecords, bindHost, port);
    LogStandIn starting = new LogStandIn(settings);
    log = starting;
    starting.start();
    return List.of(starting.address());
  }

  @Override
  void stop() {
    LogStandIn stopping = log;
    if (stopping != null) {
      stopping.stop();
    }
  }
}
