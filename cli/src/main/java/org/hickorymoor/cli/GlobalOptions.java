package org.hickorymoor.cli;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.hickorymoor.cli.client.ServerAddress;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Options common to all commands, accepted before and after the command name. */
final class GlobalOptions {

  static final String SERVER_VARIABLE = "HICKORYMOOR_SERVER";
  static final String ACTOR_VARIABLE = "HICKORYMOOR_ACTOR";

  private static final String DEFAULT_SERVER = "127.0.0.1:7480";
  private static final String DEFAULT_ACTOR = "anonymous";

  @Option(
      name = "--server",
      metaVar = "HOST:PORT[,HOST:PORT...]",
      usage =
          "servers to use, in this order (or environment variable HICKORYMOOR_SERVER; default"
              + " 127.0.0.1:7480)")
  private @Nullable String server;

  @Option(
      name = "--actor",
      metaVar = "NAME",
      usage = "who acts, for the audit trail (or environment variable HICKORYMOOR_ACTOR)")
  private @Nullable String actor;

  @Option(
      name = "--retry-for",
      handler = DurationOptionHandler.class,
      usage = "how long to repeat a call that fails, 10s if absent")
  private Duration retryFor = Duration.ofSeconds(10);

  @Option(name = "--json", usage = "print the server's answer as JSON")
  private boolean json;

  @Option(
      name = "--help",
      aliases = "-h",
      help = true,
      usage = "print what the command does, with an example")
  private boolean help;

  boolean json() {
    return json;
  }

  boolean help() {
    return help;
  }

  long retryForMs() {
    return retryFor.toMillis();
  }

  List<ServerAddress> servers(Map<String, String> environment) throws UsageException {
    String text =
        server == null ? environment.getOrDefault(SERVER_VARIABLE, DEFAULT_SERVER) : server;
    try {
      return ServerAddress.parseList(text);
    } catch (IllegalArgumentException e) {
      String message = "--server or " + SERVER_VARIABLE + " is \"" + text + "\": ";
      throw new UsageException(message + e.getMessage());
    }
  }

  String actor(Map<String, String> environment) throws UsageException {
    String name = actor == null ? environment.getOrDefault(ACTOR_VARIABLE, DEFAULT_ACTOR) : actor;
    if (!name.matches("[A-Za-z0-9._:@-]{1,128}")) {
      throw new UsageException(
          "--actor or "
              + ACTOR_VARIABLE
              + ": expected 1 to 128 characters of A-Z a-z 0-9 . _ : @ -, got \""
              + name
              + "\"");
    }
    return name;
  }
}
