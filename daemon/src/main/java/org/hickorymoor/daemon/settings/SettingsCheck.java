package org.hickorymoor.daemon.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import org.hickorymoor.daemon.settings.DaemonSettings.SchedulerKind;
import org.hickorymoor.daemon.settings.DaemonSettings.Times;

/** Checks flags and collects every mistake. */
final class SettingsCheck {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
  private static final Pattern ADDRESS =
      Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}");
  private static final int MAX_PORT = 65_535;
  private static final long MAX_MS = 3_600_000;
  private static final int MAX_APPENDS_PER_SECOND = 1_000;
  private static final Set<String> LEVELS = Set.of("trace", "debug", "info", "warn", "error");

  private final Flags flags;
  private final List<SettingProblem> problems = new ArrayList<>();
  private List<String> seedPeers = List.of();

  SettingsCheck(Flags flags) {
    this.flags = flags;
  }

  DaemonSettings settings() throws SettingsException {
    name("--host-id", flags.hostId);
    name("--domain", flags.domain);
    name("--region", flags.region);
    address("--http-bind", flags.httpBind);
    address("--peer-bind", flags.peerBind);
    address("--log", flags.log);
    address("--hosts", flags.hosts);
    seedPeers = peers();
    range("--hold-lease-ms", flags.holdLeaseMs, 1, MAX_MS);
    range("--hold-margin-ms", flags.holdMarginMs, 1, MAX_MS);
    range("--task-lease-ms", flags.taskLeaseMs, 1, MAX_MS);
    range("--sync-wait-ms", flags.syncWaitMs, 1, MAX_MS);
    range("--call-timeout-ms", flags.callTimeoutMs, 1, MAX_MS);
    range("--status-ms", flags.statusMs, 1, MAX_MS);
    range("--host-list-poll-ms", flags.hostListPollMs, 1, MAX_MS);
    range("--stop-grace-ms", flags.stopGraceMs, 0, MAX_MS);
    range("--appends-per-second", flags.appendsPerSecond, 1, MAX_APPENDS_PER_SECOND);
    leases();
    SchedulerKind scheduler = scheduler();
    if (!LEVELS.contains(flags.logLevel)) {
      reject("--log-level", "trace, debug, info, warn or error", flags.logLevel);
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
        times(),
        flags.appendsPerSecond,
        flags.logLevel);
  }

  private Times times() {
    return new Times(
        flags.holdLeaseMs,
        flags.holdMarginMs,
        flags.taskLeaseMs,
        flags.syncWaitMs,
        flags.callTimeoutMs,
        flags.statusMs,
        flags.hostListPollMs,
        flags.stopGraceMs);
  }

  private void leases() {
    long syncMs = flags.syncWaitMs + flags.callTimeoutMs;
    long usableMs = flags.holdLeaseMs - flags.holdMarginMs;
    if (usableMs <= syncMs) {
      String expected =
          "more than --sync-wait-ms, --call-timeout-ms and --hold-margin-ms together ("
              + (syncMs + flags.holdMarginMs)
              + ")";
      reject("--hold-lease-ms", expected, "" + flags.holdLeaseMs);
    }
    if (flags.taskLeaseMs <= 2 * flags.holdLeaseMs) {
      String expected = "more than twice --hold-lease-ms (" + 2 * flags.holdLeaseMs + ")";
      reject("--task-lease-ms", expected, "" + flags.taskLeaseMs);
    }
  }

  private SchedulerKind scheduler() {
    for (SchedulerKind kind : SchedulerKind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
      if (name.equals(flags.scheduler)) {
        return kind;
      }
    }
    reject("--scheduler", "policy or first-fit", flags.scheduler);
    return SchedulerKind.POLICY;
  }

  private List<String> peers() {
    if (flags.peers.isBlank()) {
      return List.of();
    }
    List<String> peers = Arrays.stream(flags.peers.split(",", -1)).map(String::strip).toList();
    peers.forEach(peer -> address("--peers", peer));
    return peers;
  }

  private void name(String flag, String value) {
    if (!NAME.matcher(value).matches()) {
      reject(flag, "a name of 1 to 64 letters, digits, '.', '_' or '-'", quote(value));
    }
  }

  private void address(String flag, String value) {
    boolean wellFormed = ADDRESS.matcher(value).matches();
    if (!wellFormed || Integer.parseInt(value.substring(value.lastIndexOf(':') + 1)) > MAX_PORT) {
      reject(flag, "ip:port with an IP number", quote(value));
    }
  }

  private void range(String flag, long value, long min, long max) {
    if (value < min || value > max) {
      reject(flag, "a number from " + min + " to " + max, "" + value);
    }
  }

  private void reject(String flag, String expected, String got) {
    problems.add(new SettingProblem(flag, expected, got));
  }

  private static String quote(String value) {
    return value.isEmpty() ? "nothing" : "'" + value + "'";
  }
}
