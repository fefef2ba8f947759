package org.hickorymoor.daemon.settings;

import org.kohsuke.args4j.Option;

/**
 * Command-line flags, parsed by args4j. Each can also be set by an environment variable, for
 * example {@code --http-bind} by {@code HICKORYMOOR_HTTP_BIND}; the flag takes precedence.
 */
final class DaemonFlags {

  @Option(name = "--host-id", metaVar = "NAME", usage = "name of this entry host, unique")
  String hostId = "";

  @Option(name = "--domain", metaVar = "NAME", usage = "failure domain of this host")
  String domain = "";

  @Option(name = "--region", metaVar = "NAME", usage = "region of this host")
  String region = "";

  @Option(
      name = "--http-bind",
      metaVar = "IP:PORT",
      usage = "where callers and operators are served; other than loopback is open to its network")
  String httpBind = "127.0.0.1:7480";

  @Option(name = "--peer-bind", metaVar = "IP:PORT", usage = "where other entry hosts are served")
  String peerBind = "127.0.0.1:7481";

  @Option(name = "--log", metaVar = "IP:PORT", usage = "the platform's log service")
  String log = "";

  @Option(name = "--hosts", metaVar = "IP:PORT", usage = "the platform's host list")
  String hosts = "";

  @Option(
      name = "--peers",
      metaVar = "IP:PORT,...",
      usage = "entry hosts to ask before the host list has answered")
  String peers = "";

  @Option(
      name = "--scheduler",
      metaVar = "NAME",
      usage = "policy, or first-fit, the plain baseline without learning")
  String scheduler = "policy";

  @Option(
      name = "--hold-lease-ms",
      metaVar = "MS",
      usage = "length of the ownership lease on each worker; bounds the time without starts")
  long holdLeaseMs = 4_000;

  @Option(
      name = "--hold-margin-ms",
      metaVar = "MS",
      usage = "how much earlier the holder counts the ownership lease as passed")
  long holdMarginMs = 400;

  @Option(name = "--task-lease-ms", metaVar = "MS", usage = "length of a task's lease")
  long taskLeaseMs = 12_000;

  @Option(
      name = "--sync-wait-ms",
      metaVar = "MS",
      usage = "longest time that a worker holds back its answer when nothing happens")
  long syncWaitMs = 1_000;

  @Option(name = "--call-timeout-ms", metaVar = "MS", usage = "longest wait for the platform")
  long callTimeoutMs = 1_000;

  @Option(name = "--status-ms", metaVar = "MS", usage = "time between two heartbeats to peers")
  long statusMs = 500;

  @Option(name = "--host-list-poll-ms", metaVar = "MS", usage = "time between two looks at it")
  long hostListPollMs = 1_000;

  @Option(
      name = "--stop-grace-ms",
      metaVar = "MS",
      usage = "longest time that a planned stop waits for calls in flight")
  long stopGraceMs = 65_000;

  @Option(
      name = "--appends-per-second",
      metaVar = "N",
      usage = "share of the log's appends that this host uses at most")
  int appendsPerSecond = 10;

  @Option(name = "--log-level", metaVar = "LEVEL", usage = "trace, debug, info, warn or error")
  String logLevel = "info";

  @Option(name = "--help", aliases = "-h", help = true, usage = "shows this text")
  boolean help;
}
