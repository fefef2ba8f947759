package org.hickorymoor.daemon.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import org.hickorymoor.daemon.settings.DaemonSettings.SchedulerKind;
import org.hickorymoor.daemon.settings.DaemonSettings.Timings;

/** Validates flags and collects all invalid values, to report them together. */
final class SettingsValidator {

  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");
  private static final Pattern ADDRESS_PATTERN =
      Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}");
  private static final int MAX_PORT = 65_535;
  private static final long MAX_DURATION_MS = 3_600_000;
  private static final int MAX_APPENDS_PER_SECOND = 1_000;
  private static final Set<String> LOG_LEVELS = Set.of("trace", "debug", "info", "warn", "error");

  private final DaemonFlags flags;
  private final List<SettingProblem> problems = new ArrayList<>();
  private List<String> seedPeers = List.of();

  SettingsValidator(DaemonFlags flags) {
    this.flags = flags;
  }

  DaemonSettings validate() throws SettingsException {
    checkName("--host-id", flags.hostId);
    checkName("--domain", flags.domain);
    checkName("--region", flags.region);
    checkAddress("--http-bind", flags.httpBind);
    checkAddress("--peer-bind", flags.peerBind);
    checkAddress("--log", flags.log);
    checkAddress("--hosts", flags.hosts);
    seedPeers = parsePeers();
    checkRange("--hold-lease-ms", flags.holdLeaseMs, 1, MAX_DURATION_MS);
    checkRange("--hold-margin-ms", flags.holdMarginMs, 1, MAX_DURATION_MS);
    checkRange("--task-lease-ms", flags.taskLeaseMs, 1, MAX_DURATION_MS);
    checkRange("--sync-wait-ms", flags.syncWaitMs, 1, MAX_DURATION_MS);
    checkRange("--call-timeout-ms", flags.callTimeoutMs, 1, MAX_DURATION_MS);
    checkRange("--status-ms", flags.statusMs, 1, MAX_DURATION_MS);
    checkRange("--host-list-poll-ms", flags.hostListPollMs, 1, MAX_DURATION_MS);
    checkRange("--stop-grace-ms", flags.stopGraceMs, 0, MAX_DURATION_MS);
    checkRange("--appends-per-second", flags.appendsPerSecond, 1, MAX_APPENDS_PER_SECOND);
    checkLeases();
    SchedulerKind scheduler = parseScheduler();
    if (!LOG_LEVELS.contains(flags.logLevel)) {
      addProblem("--log-level", "trace, debug, info, warn or error", flags.logLevel);
    }
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
    return new DaemonSettings(
        flags.hostId,
        flags.domain,
        flags.region,
        flags.httpBind,
        flags.peerBind,
        flags.log,
        flags.hosts,
        seedPeers,
        scheduler,
        timings(),
        flags.appendsPerSecond,
        flags.logLevel);
  }

  private Timings timings() {
    return new Timings(
        flags.holdLeaseMs,
        flags.holdMarginMs,
        flags.taskLeaseMs,
        flags.syncWaitMs,
        flags.callTimeoutMs,
        flags.statusMs,
        flags.hostListPollMs,
        flags.stopGraceMs);
  }

  private void checkLeases() {
    long maxSyncMs = flags.syncWaitMs + flags.callTimeoutMs;
    long usableMs = flags.holdLeaseMs - flags.holdMarginMs;
    if (usableMs <= maxSyncMs) {
      String expected =
          "more than --sync-wait-ms, --call-timeout-ms and --hold-margin-ms together ("
              + (maxSyncMs + flags.holdMarginMs)
              + ")";
      addProblem("--hold-lease-ms", expected, "" + flags.holdLeaseMs);
    }
    if (flags.taskLeaseMs <= 2 * flags.holdLeaseMs) {
      String expected = "more than twice --hold-lease-ms (" + 2 * flags.holdLeaseMs + ")";
      addProblem("--task-lease-ms", expected, "" + flags.taskLeaseMs);
    }
  }

  private SchedulerKind parseScheduler() {
    for (SchedulerKind kind : SchedulerKind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
      if (name.equals(flags.scheduler)) {
        return kind;
      }
    }
    addProblem("--scheduler", "policy or first-fit", flags.scheduler);
    return SchedulerKind.POLICY;
  }

  private List<String> parsePeers() {
    if (flags.peers.isBlank()) {
      return List.of();
    }
    List<String> peers = Arrays.stream(flags.peers.split(",", -1)).map(String::strip).toList();
    peers.forEach(peer -> checkAddress("--peers", peer));
    return peers;
  }

  private void checkName(String flag, String value) {
    if (!NAME_PATTERN.matcher(value).matches()) {
      addProblem(flag, "a name of 1 to 64 letters, digits, '.', '_' or '-'", quote(value));
    }
  }

  private void checkAddress(String flag, String value) {
    boolean wellFormed = ADDRESS_PATTERN.matcher(value).matches();
    if (!wellFormed || Integer.parseInt(value.substring(value.lastIndexOf(':') + 1)) > MAX_PORT) {
      addProblem(flag, "ip:port with a numeric IP address", quote(value));
    }
  }

  private void checkRange(String flag, long value, long min, long max) {
    if (value < min || value > max) {
      addProblem(flag, "a number from " + min + " to " + max, "" + value);
    }
  }

  private void addProblem(String flag, String expected, String got) {
    problems.add(new SettingProblem(flag, expected, got));
  }

  private static String quote(String value) {
    return value.isEmpty() ? "nothing" : "'" + value + "'";
  }
}
