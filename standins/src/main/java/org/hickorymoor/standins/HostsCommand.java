package org.hickorymoor.standins;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostList;
import org.hickorymoor.standins.hosts.HostListSettings;
import org.hickorymoor.standins.hosts.HostListStandIn;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs a host list stand-in. */
final class HostsCommand extends StandInCommand {

  private static final Gson GSON = new Gson();

  @Option(name = "--lag-ms", metaVar = "MS", usage = "delay until a change becomes visible")
  private long lagMs = 0;

  @Option(name = "--host", metaVar = "JSON", usage = "host listed from the start; may be repeated")
  private List<String> hosts = new ArrayList<>();

  @Option(name = "--hosts-file", metaVar = "FILE", usage = "hosts listed from the start, as JSON")
  private @Nullable String hostsFile = null;

  private volatile @Nullable HostListStandIn list;

  @Override
  List<String> start(CmdLineParser parser) throws CmdLineException, IOException {
    HostListStandIn starting = new HostListStandIn(new HostListSettings(lagMs, bindHost, port));
    for (HostEntry entry : initialHosts(parser)) {
      starting.putVisible(entry);
    }
    list = starting;
    starting.start();
    return List.of(starting.address());
  }

  @Override
  void stop() {
    HostListStandIn stopping = list;
    if (stopping != null) {
      stopping.stop();
    }
  }

  private List<HostEntry> initialHosts(CmdLineParser parser) throws CmdLineException, IOException {
    List<HostEntry> entries = new ArrayList<>();
    if (hostsFile != null) {
      String text = Files.readString(Path.of(hostsFile));
      entries.addAll(read(parser, text, HostList.class).hosts());
    }
    for (String host : hosts) {
      entries.add(read(parser, host, HostEntry.class));
    }
    return entries;
  }

  @SuppressWarnings("deprecation") // The other constructor requires a localizer for a fixed text.
  private static <T> T read(CmdLineParser parser, String text, Class<T> type)
      throws CmdLineException {
    try {
      T value = GSON.fromJson(text, type);
      if (value != null) {
        return value;
      }
    } catch (JsonParseException e) {
      throw new CmdLineException(parser, expected(type, text) + ": " + e.getMessage(), e);
    }
    throw new CmdLineException(parser, expected(type, text));
  }

  private static String expected(Class<?> type, String text) {
    return "expected JSON with the fields of " + type.getSimpleName() + ", got " + text;
  }
}
