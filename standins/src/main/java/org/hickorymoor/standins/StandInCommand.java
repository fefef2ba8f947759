package org.hickorymoor.standins;

import java.io.IOException;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * A subcommand of {@link StandInsMain}: options of one kind of stand-in, and its start and stop.
 */
abstract class StandInCommand {

  @Option(name = "--bind", metaVar = "IP", usage = "IP number to bind")
  String bindHost = "127.0.0.1";

  @Option(name = "--port", metaVar = "PORT", usage = "port to bind, 0 for any free one")
  int port = 0;

  @Option(name = "--end-with-stdin", usage = "end when the standard input is closed")
  boolean endWithStdin = false;

  /** Starts to serve and returns the addresses served. */
  abstract List<String> start(CmdLineParser parser) throws CmdLineException, IOException;

  /** Stops serving; safe to call when the start has failed. */
  abstract void stop();
}
