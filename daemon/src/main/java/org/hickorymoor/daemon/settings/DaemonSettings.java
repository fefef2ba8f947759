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
 * The settings of a daemon, checked.
 *
 * <pre>{@code
 * DaemonSettings settings = DaemonSettings.parse(args, System.getenv());
 * }</pre>
 *
 * @param hostId name of this entry host
 * @param domain failure domain of this host
 * @param region region of this host
 * @param httpBind ip:port for callers and operators
 * @param peerBind ip:port for other entry hosts
 * @param logAddress ip:port of the platform's log
 * @param hostsAddress ip:port of the platform's host list
 * @param seedPeers entry hosts to ask before the host list has answered
 * @param scheduler which scheduler decides
 * @param timings leases, waits and periods
 * @param appendsPerSecond most appends to the log
 * @param logLevel least level that is logged
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

  /** Which scheduler decides. */
  public enum SchedulerKind {
    /** Fair queues, learned capacity, best fit. */
    POLICY,

    /** The plain baseline. */
    FIRST_FIT
  }

  /**
   * Leases, waits and periods.
   *
   * @param holdLeaseMs length of the ownership lease on each worker
   * @param holdMarginMs how much earlier the holder counts it as passed
   * @param taskLeaseMs length of a task's lease
   * @param syncWaitMs longest time that a worker holds back its answer
   * @param callTimeoutMs longest wait for the platform
   * @param statusMs time between two heartbeats to peers
   * @param hostListPollMs time between two looks at the host list
   * @param stopGraceMs longest time that a planned stop waits for calls in flight
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

  /** Copies the list. */
  public DaemonSettings {
    seedPeers = List.copyOf(seedPeers);
  }

  /**
   * Reads and checks the settings.
   *
   * @param args flags
   * @param environment environment variables; a flag wins over its variable
   * @return the settings
   * @throws SettingsException if there is any mistake; it names them all
   * @throws HelpRequestedException if help is asked for
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
