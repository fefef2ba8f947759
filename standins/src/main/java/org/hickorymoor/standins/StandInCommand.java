package org.hickorymoor.standins;

import java.io.IOException;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** A subcommand of {@link StandInsMain}: options and lifecycle of one kind of stand-in. */
abstract class StandInCommand {

  @Option(name = "--bind", metaVar = "IP", usage = "IP address to bind")
  String bindHost = "127.0.0.1";

  @Option(name = "--port", metaVar = "PORT", usage = "port to bind, 0 for an ephemeral port")
  int port = 0;

  @Option(name = "--end-with-stdin", usage = "exit when the standard input is closed")
  boolean endWithStdin = false;

  /** Starts serving and returns the addresses. */
  abstract List<String> start(CmdLineParser parser) throws CmdLineException, IOException;

  /** Stops serving; may be called after a failed start. */
  abstract void stop();
}
