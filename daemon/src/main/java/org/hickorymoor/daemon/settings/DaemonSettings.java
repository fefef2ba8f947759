package org.hickorymoor.daemon.settings;

import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OptionHandler;

/**
 * Validated settings of a daemon.
 *
 * <pre>{@code
 * DaemonSettings settings = DaemonSettings.parse(args, System.getenv());
 * }</pre>
 *
 * @param hostId id of this entry host
 * @param domain failure domain of this host
 * @param region region of this host
 * @param httpBind ip:port to bind for callers and operators
 * @param peerBind ip:port to bind for other entry hosts
 * @param logAddress ip:port of the platform's log service
 * @param hostsAddress ip:port of the platform's host list
 * @param seedPeers ip:port of entry hosts to contact before the host list is available
 * @param scheduler scheduling algorithm
 * @param timings leases, timeouts and periods
 * @param appendsPerSecond maximum rate of appends to the log
 * @param logLevel lowest level that is logged
 */
public record DaemonSettings(
    String hostId,
    String domain,
    String region,
    String httpBind,
    String peerBind,
    String logAddress,
    String hostsAddress,
    List<String> seedPeers,
    SchedulerKind scheduler,
    Timings timings,
    int appendsPerSecond,
    String logLevel) {

  private static final String ENV_PREFIX = "HICKORYMOOR_";
  private static final String HELP_FLAG = "--help";
  private static final int HELP_WIDTH = 100;

  /** Scheduling algorithms; the flag takes the names in lower case with hyphens. */
  public enum SchedulerKind {
    /** Fair queues, estimated capacity, best-fit placement. */
    POLICY,

    /** First-fit placement without capacity estimates, as a baseline for comparison. */
    FIRST_FIT
  }

  /**
   * Leases, timeouts and periods.
   *
   * @param holdLeaseMs duration of the ownership lease on each worker
   * @param holdMarginMs safety margin by which the holder treats the lease as expired early
   * @param taskLeaseMs duration of a task's lease on its worker
   * @param syncWaitMs maximum time for which a worker may delay its reply to a sync
   * @param callTimeoutMs timeout for calls to the platform
   * @param statusMs heartbeat interval between peers of the failure domain
   * @param hostListPollMs interval between polls of the host list
   * @param stopGraceMs maximum time for which a graceful stop waits for calls in flight
   */
  public record Timings(
      long holdLeaseMs,
      long holdMarginMs,
      long taskLeaseMs,
      long syncWaitMs,
      long callTimeoutMs,
      long statusMs,
      long hostListPollMs,
      long stopGraceMs) {}

  /** Makes a defensive copy of the list. */
  public DaemonSettings {
    seedPeers = List.copyOf(seedPeers);
  }

  /**
   * Parses and validates the settings.
   *
   * @param args command-line flags
   * @param environment environment variables; a flag takes precedence over its variable
   * @return the settings
   * @throws SettingsException if a flag can't be parsed, or with all invalid values otherwise
   * @throws HelpRequestedException if the arguments contain {@code --help}
   */
  public static DaemonSettings parse(String[] args, Map<String, String> environment)
      throws SettingsException, HelpRequestedException {
    DaemonFlags flags = new DaemonFlags();
    CmdLineParser parser = new CmdLineParser(flags);
    List<String> allArgs = flagsFromEnvironment(parser, environment);
    allArgs.addAll(List.of(args));
    try {
      parser.parseArgument(allArgs);
    } catch (CmdLineException e) {
      throw new SettingsException(
          List.of(new SettingProblem("flags", "known flags with values", "" + e.getMessage())));
    }
    if (flags.help) {
      throw new HelpRequestedException(help(parser));
    }
    return new SettingsValidator(flags).validate();
  }

  private static List<String> flagsFromEnvironment(
      CmdLineParser parser, Map<String, String> environment) {
    List<String> flags = new ArrayList<>();
    for (OptionHandler<?> handler : parser.getOptions()) {
      OptionDef option = handler.option;
      String value = environment.get(variableName(option.toString()));
      if (value != null && !option.toString().startsWith(HELP_FLAG)) {
        flags.add(option.toString());
        flags.add(value);
      }
    }
    return flags;
  }

  private static String variableName(String option) {
    String name = option.split(" ", -1)[0].replaceFirst("^--", "");
    return ENV_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
  }

  private static String help(CmdLineParser parser) {
    StringWriter text = new StringWriter();
    text.append("hickorymoord: the daemon of the hickorymoor cluster scheduler.\n\n");
    text.append("Each flag can also be set by an environment variable, --http-bind by\n");
    text.append("HICKORYMOOR_HTTP_BIND; a flag wins.\n\n");
    parser.getProperties().withUsageWidth(HELP_WIDTH);
    parser.printUsage(text, null);
    return text.toString();
  }
}
